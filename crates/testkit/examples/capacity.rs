//! Measures the slopes behind docs/CAPACITY.md: time, memory and bytes at growing sizes.

use std::hint::black_box;
use std::time::Instant;

use gumdrop::Options;
use policy::{CallSpec, Entry, Health, Load, Member, MemberAction, Members, Phase, Route, Time};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use testkit::report;
use wire::{Open, Reply, encode};
use world::{Class, Config, Name, parse};

/// Targets of one service at the two-year size, at the mean.
const TARGETS: usize = 7;
/// Calls whose time is measured.
const CALLS: u32 = 200_000;

#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this help", no_short)]
    help: bool,
}

fn main() {
    Args::parse_args_default_or_exit();
    println!("entry: time of a call's decisions, memory of all services");
    for services in [3, 26, 104, 260] {
        entry(services, TARGETS);
    }
    for targets in [6, 18, 180, 1_800] {
        entry(1, targets);
    }
    println!("members: of one node");
    for count in [13, 112, 450, 1_800] {
        members(count);
    }
    println!("configuration: one document");
    for (vms, services) in [(13, 3), (450, 65), (900, 130), (1_800, 260)] {
        config(vms, services);
    }
}

fn resident() -> u64 {
    report::usage(std::process::id()).resident
}

fn routes(targets: usize) -> Vec<Route> {
    let route = |at| Route { target: format!("target-{at:04}").into(), rtt_us: 1_000 };
    (0..targets).map(route).collect()
}

fn entry(services: usize, targets: usize) {
    let before = resident();
    let names: Vec<Name> = (0..services).map(|at| format!("service-{at:03}").into()).collect();
    let mut entry = Entry::new("node-1".into());
    let routed = Instant::now();
    for name in &names {
        entry.set_routes(name, routes(targets));
    }
    let routed_us = routed.elapsed().as_secs_f64() * 1e6;
    let mut rng = SmallRng::seed_from_u64(1);
    let load = Load::new(Phase::Warm, 1, 12, 5, 5_000.0);
    let begun = Instant::now();
    for number in 0..CALLS {
        let now = Time(u64::from(number) * 100);
        let ask = CallSpec {
            service: names[number as usize % services].clone(),
            class: Class::Normal,
            idempotent: true,
            keyed: false,
            whole: true,
            deadline: now.after(2_000_000),
        };
        let (mut call, step) = entry.begin(now, ask, &mut rng);
        if let policy::Step::Send(target) = black_box(step) {
            call.answered(now.after(5_000), &mut entry, &target, Some(load));
        }
    }
    let call_ns = begun.elapsed().as_secs_f64() * 1e9 / f64::from(CALLS);
    let kilobytes = resident().saturating_sub(before) / 1_024;
    println!(
        "  {services:4} services of {targets:4} targets: {call_ns:6.0} ns a call, \
         {routed_us:8.0} us to route, {kilobytes:6} KB"
    );
}

fn member(at: usize) -> Member {
    Member {
        name: format!("listings-{at:04}").into(),
        data_centre: format!("dc-{}", at % 9).into(),
        address: ([10, 0, (at >> 8) as u8, at as u8], 7001).into(),
        service: Some(format!("service-{:03}", at % 260).into()),
        started: 1_765_000_000_000,
        incarnation: 1_765_000_000_001,
        health: Health::Alive,
    }
}

fn members(count: usize) {
    let before = resident();
    let mut one = Members::new(Time(0), member(0));
    let list: Vec<Member> = (0..count).map(member).collect();
    let joined = Instant::now();
    one.merge(Time(0), list.clone());
    let join_ms = joined.elapsed().as_secs_f64() * 1e3;
    let kilobytes = resident().saturating_sub(before) / 1_024;
    let reply = Reply::Members { summary: Vec::new(), members: list };
    let join_bytes = encode(&reply).map_or(0, |frame| frame.len());
    let mut rng = SmallRng::seed_from_u64(1);
    let (mut messages, mut bytes, mut seconds) = (0u32, 0usize, 0.0);
    // Long enough that the news of the join is spent.
    for tick in 1..=40_000u64 {
        let begun = Instant::now();
        let actions = one.tick(Time(tick * 100_000), &mut rng);
        if tick > 30_000 {
            seconds += begun.elapsed().as_secs_f64();
        }
        for action in actions {
            let MemberAction::Send(name, _, message) = action else { continue };
            let answer = policy::MemberMessage {
                probe: policy::MessageKind::Ack,
                from: one.member(&name).cloned().unwrap_or(member(1)),
                news: Vec::new(),
                ..message.clone()
            };
            if tick > 30_000 {
                messages += 1;
                bytes += encode(&Open::Member(Box::new(message))).map_or(0, |frame| frame.len());
            }
            one.received(Time(tick * 100_000 + 1_000), answer);
        }
    }
    println!(
        "  {count:4} members: join {join_bytes:7} bytes {join_ms:5.1} ms, {kilobytes:5} KB, \
         {:.2} pings a second of {:.0} bytes, {:.0} us a second of ticks",
        f64::from(messages) / 1_000.0,
        bytes as f64 / f64::from(messages.max(1)),
        seconds * 1e6 / 1_000.0
    );
}

fn config(vms: usize, services: usize) {
    let mut text = "tenant = \"full\"\n".to_owned();
    for at in 0..9 {
        text += &format!("[[data_centre]]\nname = \"dc-{at}\"\nregion = \"r-{}\"\n", at / 3);
    }
    for at in 0..vms {
        text += &format!(
            "[[vm]]\nname = \"listings-{at:04}\"\ndata_centre = \"dc-{}\"\naddress = \"10.0.{}.{}\"\n",
            at % 9,
            at >> 8,
            at & 255
        );
    }
    for at in 0..services {
        text += &format!(
            "[[service]]\nname = \"service-{at:03}\"\nroute = \"/service-{at:03}\"\n\
             deadline_ms = 2000\ncold_slots = 2\nwarm_answers = 4\n\
             [[contract]]\nservice = \"service-{at:03}\"\npath = \"/service-{at:03}/check\"\nclass = \"internal\"\n"
        );
    }
    let begun = Instant::now();
    let inventory = parse(&text).expect("the document is right");
    let parse_ms = begun.elapsed().as_secs_f64() * 1e3;
    let begun = Instant::now();
    for number in 0..10_000 {
        let path = format!("/service-{:03}/item", number % services);
        black_box(inventory.rule("GET", &path));
    }
    let rule_ns = begun.elapsed().as_secs_f64() * 1e9 / 10_000.0;
    let mut config = Config { version: 2, base: 1, document: text.into(), ..Config::default() };
    let whole = encode(&Reply::Config(Some(Box::new(config.clone())))).map_or(0, |f| f.len());
    config.document = Name::default();
    let mark = encode(&Reply::Config(Some(Box::new(config)))).map_or(0, |f| f.len());
    println!(
        "  {vms:4} VMs, {services:3} services: {whole:7} bytes whole, {mark:3} a mark, \
         {parse_ms:6.1} ms to read, {rule_ns:6.0} ns a rule"
    );
}
