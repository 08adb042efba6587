//! The memory for bodies: no kind or size of body leaves the others without room.

use policy::{BodyKind, ByteBudget};

const KIB: usize = 1024;

/// Bodies that are held, and whether one more fits.
struct Case {
    name: &'static str,
    held: &'static [(BodyKind, usize)],
    next: (BodyKind, usize),
    fits: bool,
}

// Guards against large uploads, or answers that nobody reads, that starve small requests.
#[test]
fn each_kind_of_body_leaves_room_for_the_others() {
    use BodyKind::{Answer, Request, TargetAnswer};
    const MOST: usize = 8_192 * KIB;
    let cases = [
        Case { name: "all but an eighth", held: &[], next: (Request, 7_168 * KIB), fits: true },
        Case { name: "a byte more", held: &[], next: (Request, 7_168 * KIB + 1), fits: false },
        Case {
            name: "a small one beside a large one",
            held: &[(Request, 7_168 * KIB)],
            next: (Request, 64 * KIB),
            fits: true,
        },
        Case {
            name: "a large one beside another",
            held: &[(Request, 7_168 * KIB)],
            next: (Request, 64 * KIB + 1),
            fits: false,
        },
        Case { name: "half for answers", held: &[], next: (Answer, 4_096 * KIB), fits: true },
        Case {
            name: "no more for answers",
            held: &[(Answer, 4_096 * KIB)],
            next: (Answer, 1),
            fits: false,
        },
        Case {
            name: "a quarter for the target's",
            held: &[],
            next: (TargetAnswer, 2_048 * KIB),
            fits: true,
        },
        Case {
            name: "no more for the target's",
            held: &[(TargetAnswer, 2_048 * KIB)],
            next: (TargetAnswer, 1),
            fits: false,
        },
        Case {
            name: "others beside the target's",
            held: &[(TargetAnswer, 2_048 * KIB)],
            next: (Answer, 2_048 * KIB),
            fits: true,
        },
        Case {
            name: "the target's beside others",
            held: &[(Answer, 4_096 * KIB)],
            next: (TargetAnswer, 1),
            fits: false,
        },
        Case {
            name: "a request beside answers",
            held: &[(Answer, 4_096 * KIB)],
            next: (Request, 4_096 * KIB),
            fits: true,
        },
        Case {
            name: "an answer beside large requests",
            held: &[(Request, 7_168 * KIB)],
            next: (Answer, 1_024 * KIB),
            fits: true,
        },
        Case {
            name: "no more in all",
            held: &[(Request, 7_168 * KIB), (Answer, 1_024 * KIB)],
            next: (Request, 1),
            fits: false,
        },
    ];
    for Case { name, held, next: (kind, bytes), fits } in cases {
        let mut budget = ByteBudget::new(MOST);
        for (kind, bytes) in held {
            assert!(budget.take(*kind, 0, *bytes), "{name}");
        }
        let before = budget.held();
        assert_eq!(budget.take(kind, 0, bytes), fits, "{name}");
        budget.give_back(kind, if fits { bytes } else { 0 });
        assert_eq!(budget.held(), before, "{name}");
    }
}
