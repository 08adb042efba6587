//! Encoding and decoding of frames, also of malformed ones.

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
fn decoding_returns_the_encoded_message() {
    let frame = encode(&call()).unwrap();
    assert_eq!(decode::<Open>(&frame).unwrap(), call());
    let load = Load::new(Phase::Cold, 70, 12, 300, 5_000.0);
    let verdict = Verdict::Refused { code: Code::Overload, not_run: true, load: Some(load) };
    assert_eq!(decode::<Verdict>(&encode(&verdict).unwrap()).unwrap(), verdict);
}

#[test]
fn a_load_adds_four_bytes_and_keeps_the_service_time_within_five_percent() {
    let load = Load::new(Phase::Warm, 63, 12, 9, 5_000.0);
    assert_eq!(encode(&Some(load)).unwrap().len() - encode(&None::<Load>).unwrap().len(), 4);
    assert!((load.service_us() / 5_000.0 - 1.0).abs() < 0.05);
    let next = Load::new(Phase::Warm, 64, 12, 9, 5_000.0);
    assert!(load.is_before(&next) && !next.is_before(&load), "the sequence number wraps around");
}

struct MalformedFrame {
    case: &'static str,
    frame: Vec<u8>,
    error: &'static str,
}

#[test]
fn each_malformed_frame_has_its_own_error() {
    let valid = encode(&Reply::Noted).unwrap();
    let with = |at: usize, byte: u8| {
        let mut frame = valid.clone();
        frame[at] = byte;
        frame
    };
    let cases = [
        MalformedFrame {
            case: "other version",
            frame: with(0, 9),
            error: "a frame has version 9, not 1",
        },
        MalformedFrame {
            case: "too long",
            frame: with(4, 0x7f),
            error: "is longer than the limit",
        },
        MalformedFrame {
            case: "trailing",
            frame: [&valid[..], b"x"].concat(),
            error: "the frame's length is wrong by 1 bytes",
        },
        MalformedFrame {
            case: "unknown message",
            frame: with(5, 99),
            error: "cannot encode or decode a message",
        },
        MalformedFrame { case: "empty", frame: Vec::new(), error: "cannot read or write a frame" },
    ];
    for case in cases {
        let error: Error = decode::<Reply>(&case.frame).expect_err(case.case);
        assert!(error.to_string().contains(case.error), "{}: {error}", case.case);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 5_000, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(5), ..ProptestConfig::default() })]

    #[test]
    fn decoding_malformed_bytes_does_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..200), flips in prop::collection::vec((any::<usize>(), any::<u8>()), 0..4)) {
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
fn a_hello_is_less_than_128_bytes() {
    // Each link begins with two of these, and a node that starts opens a link to every other node.
    // A hello that lists the known nodes would grow with their number.
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
