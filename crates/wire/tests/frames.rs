//! Frames between nodes, whole and broken.

use policy::{Fingerprint, Load, Phase, Report};
use proptest::prelude::*;
use wire::link::{Frame, Hello, Node, Status};
use wire::{Call, Error, Open, Reply, Verdict, decode, encode};
use world::{Class, Code};

fn call() -> Open {
    Open::Call(Box::new(Call {
        request: 7,
        service: "listings".into(),
        class: Class::Favoured,
        left_us: 1_000,
        method: "POST".to_owned(),
        path: "/listings?a=b".to_owned(),
        fields: Vec::new(),
        length: Some(3),
        key: Some("key".to_owned()),
        print: Fingerprint(9),
        spare: false,
        prefix: b"abc".to_vec(),
        whole: true,
    }))
}

#[test]
fn messages_come_through_as_they_were() {
    let frame = encode(&call()).unwrap();
    assert_eq!(decode::<Open>(&frame).unwrap(), call());
    let load = Load::new(Phase::Cold, 70, 12, 300, 5_000.0);
    let verdict = Verdict::Refused { code: Code::Overload, not_run: true, load: Some(load) };
    assert_eq!(decode::<Verdict>(&encode(&verdict).unwrap()).unwrap(), verdict);
}

#[test]
fn a_load_report_is_five_bytes_and_near_enough() {
    let load = Load::new(Phase::Warm, 63, 12, 9, 5_000.0);
    assert_eq!(encode(&Some(load)).unwrap().len() - encode(&None::<Load>).unwrap().len(), 4);
    assert!((load.service_us() / 5_000.0 - 1.0).abs() < 0.05);
    let next = Load::new(Phase::Warm, 64, 12, 9, 5_000.0);
    assert!(load.is_before(&next) && !next.is_before(&load), "the count wraps");
}

struct Broken {
    what: &'static str,
    frame: Vec<u8>,
    says: &'static str,
}

#[test]
fn broken_frames_are_told_apart() {
    let good = encode(&Reply::Noted).unwrap();
    let with = |at: usize, byte: u8| {
        let mut frame = good.clone();
        frame[at] = byte;
        frame
    };
    let cases = [
        Broken { what: "other version", frame: with(0, 9), says: "a frame has version 9, not 1" },
        Broken { what: "too long", frame: with(4, 0x7f), says: "longer than" },
        Broken { what: "trailing", frame: [&good[..], b"x"].concat(), says: "1 bytes follow" },
        Broken { what: "no such message", frame: with(5, 99), says: "makes no sense" },
        Broken { what: "nothing", frame: Vec::new(), says: "the stream broke" },
    ];
    for case in cases {
        let error: Error = decode::<Reply>(&case.frame).expect_err(case.what);
        assert!(error.to_string().contains(case.says), "{}: {error}", case.what);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 5_000, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(5), ..ProptestConfig::default() })]

    #[test]
    fn no_bytes_make_the_codec_panic(bytes in prop::collection::vec(any::<u8>(), 0..200), flips in prop::collection::vec((any::<usize>(), any::<u8>()), 0..4)) {
        let _ = decode::<Open>(&bytes);
        let _ = decode::<Verdict>(&bytes);
        let _ = decode::<Reply>(&bytes);
        let mut frame = encode(&call()).unwrap();
        for (at, byte) in flips {
            let at = at % frame.len();
            frame[at] = byte;
        }
        let _ = decode::<Open>(&frame);
    }
}

#[test]
fn a_greeting_does_not_grow_with_the_number_of_nodes() {
    // Every link begins with two of them, and every node that starts opens all its links.
    let hello = Frame::Hello(Box::new(Hello {
        node: Node {
            name: "sidecar-jm-south-a-1".into(),
            data_centre: "jm-south-a".into(),
            address: "10.1.0.41:7600".parse().unwrap(),
            started: 1_796_000_000_000,
        },
        status: Status {
            service: Some("listings".into()),
            report: Report::default(),
            leaving: None,
            revision: 1_000,
            followed: true,
        },
        leaving: None,
    }));
    assert!(wire::encode(&hello).unwrap().len() < 128);
}
