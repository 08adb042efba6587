//! Route lookup by host and prefix, weighted splits, and data centres out of service.

use world::{CallerLimits, Part, Repeat, Revision, RouteRule, Routing, Ruleset, set_out};

fn route(host: &str, prefix: &str, parts: &[(&str, u32)]) -> RouteRule {
    let part =
        |(service, weight): &(&str, u32)| Part { service: (*service).into(), weight: *weight };
    RouteRule {
        name: format!("{host}{prefix}").into(),
        host: host.into(),
        prefix: prefix.into(),
        parts: parts.iter().map(part).collect(),
        repeat: Repeat::Safe,
        timeout_us: 1,
        aim_us: 1,
        attempts: 1,
        priority: 0,
        public: false,
    }
}

fn routing(routes: Vec<RouteRule>) -> Routing {
    let limits = CallerLimits { head_bytes: 1, body_bytes: 1, head_us: 1, idle_us: 1 };
    Routing::new(1, routes, Vec::new(), limits)
}

struct LookupCase {
    host: &'static str,
    path: &'static str,
    route: Option<&'static str>,
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let split = [("s", 1)];
    let routing = routing(vec![
        route("b.example", "/", &split),
        route("a.example", "/x/", &split),
        route("a.example", "/x/y/", &split),
        route("a.example", "/xy/", &split),
    ]);
    let cases = [
        LookupCase { host: "a.example", path: "/x/1", route: Some("a.example/x/") },
        LookupCase { host: "A.Example:8080", path: "/x/y/1", route: Some("a.example/x/y/") },
        LookupCase { host: "a.example", path: "/x/y", route: Some("a.example/x/") },
        LookupCase { host: "a.example", path: "/xy/", route: Some("a.example/xy/") },
        LookupCase { host: "a.example", path: "/x", route: None },
        LookupCase { host: "b.example", path: "/x/1", route: Some("b.example/") },
        LookupCase { host: "c.example", path: "/x/1", route: None },
        LookupCase { host: "", path: "/", route: None },
    ];
    for case in cases {
        let found = routing.route(case.host, case.path).map(|route| &*route.name);
        assert_eq!(found, case.route, "{}{}", case.host, case.path);
    }
}

#[test]
fn requests_are_split_by_weight() {
    let route = route("a", "/", &[("x", 90), ("y", 0), ("z", 10)]);
    let draws = (0..1_000).map(|draw| &*route.part(f64::from(draw) / 1_000.0).service);
    let draws: Vec<&str> = draws.collect();
    let count = |service| draws.iter().filter(|drawn| **drawn == service).count();
    assert_eq!([count("x"), count("y"), count("z")], [900, 0, 100]);
}

#[test]
fn a_data_centre_is_out_until_it_is_put_back() {
    let mut out = Vec::new();
    for (data_centre, is_out) in [("b", true), ("a", true), ("b", true), ("c", false), ("b", false)]
    {
        set_out(&mut out, data_centre.into(), is_out);
    }
    let ruleset = Ruleset { revision: 1, routing: routing(Vec::new()), out, rollouts: Vec::new() };
    assert_eq!(["a", "b", "c"].map(|name| ruleset.is_out(name)), [true, false, false]);
}

// Guards against a version that is compared with one of another era.
#[test]
fn revisions_are_ordered_by_era_and_then_by_version() {
    struct Case {
        era: u64,
        version: u64,
        packed: u64,
    }
    let cases = [
        Case { era: 0, version: 0, packed: 0 },
        Case { era: 0, version: 533, packed: 533 },
        Case { era: 0, version: u64::MAX, packed: 0xffff_ffff_ffff },
        Case { era: 1, version: 0, packed: 1 << 48 },
        Case { era: 1, version: 7, packed: 1 << 48 | 7 },
        Case { era: u64::MAX, version: u64::MAX, packed: u64::MAX },
    ];
    assert!(cases.is_sorted_by(|a, b| a.packed < b.packed));
    for Case { era, version, packed } in cases {
        let revision = Revision::new(era, version);
        assert_eq!(u64::from(revision), packed);
        let parts = (revision.era(), revision.version());
        assert_eq!(parts, (era.min(0xffff), version.min(0xffff_ffff_ffff)));
    }
}
