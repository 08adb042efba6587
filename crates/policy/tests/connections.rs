//! Which connections make room where there are too many, and which where memory is short.

use policy::{CallerConnection, ConnectionPhase, Time, longest_idle};

const S: u64 = 1_000_000;

fn connection(phase: ConnectionPhase, since: u64, blocked: bool) -> CallerConnection {
    let mut connection = CallerConnection::new(Time(0));
    connection.set_phase(Time(since), phase);
    if blocked {
        connection.set_blocked();
    }
    connection
}

// Guards against a crowd of idle connections that keeps callers out, and against closing one whose
// request is served.
#[test]
fn the_connection_that_has_waited_longest_makes_room() {
    use ConnectionPhase::{Receiving, Serving, Waiting};
    struct Case {
        name: &'static str,
        /// Phase, when it began in seconds, and whether the caller does not read.
        connections: &'static [(ConnectionPhase, u64, bool)],
        closed: Option<usize>,
    }
    let cases = [
        Case { name: "none", connections: &[], closed: None },
        Case {
            name: "the oldest that waits",
            connections: &[(Waiting, 5, false), (Waiting, 3, false), (Waiting, 9, false)],
            closed: Some(1),
        },
        Case {
            name: "not one that is served or receives",
            connections: &[(Serving, 1, false), (Receiving, 9, false), (Waiting, 9, false)],
            closed: Some(2),
        },
        Case {
            name: "one that stopped short of its body's end",
            connections: &[(Receiving, 7, false), (Waiting, 9, false)],
            closed: Some(0),
        },
        Case {
            name: "one that does not read its answer",
            connections: &[(Waiting, 9, false), (Waiting, 2, true)],
            closed: Some(1),
        },
        Case {
            name: "only requests under way",
            connections: &[(Serving, 1, false), (Receiving, 9, false), (Waiting, 9, true)],
            closed: None,
        },
    ];
    for Case { name, connections, closed } in cases {
        let states = connections
            .iter()
            .map(|(phase, since, blocked)| connection(*phase, since * S, *blocked));
        assert_eq!(longest_idle(Time(10 * S), states), closed, "{name}");
    }
}

// Guards against bodies of which a byte now and then arrives, so that they hold memory for ever.
#[test]
fn a_body_that_trickles_is_stalled_and_one_that_moves_is_not() {
    for (bytes, stalled) in [(1, true), (4_000, true), (16 * 1024, false), (1 << 20, false)] {
        let mut connection = connection(ConnectionPhase::Receiving, 0, false);
        connection.received(Time(S), bytes);
        assert_eq!(connection.is_stalled(Time(2 * S)), stalled, "{bytes} bytes");
        connection.set_phase(Time(2 * S), ConnectionPhase::Serving);
        assert!(!connection.is_stalled(Time(9 * S)), "{bytes} bytes");
    }
}
