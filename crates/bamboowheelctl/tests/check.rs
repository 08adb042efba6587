//! Checks of a routing table before it is sent.

use bamboowheelctl::compare;

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"r","host":"a.example","pathPrefix":"/a/","kind":"safe","timeoutS":0.8,"targetLatencyS":0.4,"service":"s"}],
"services":[{"name":"s","healthPath":"/health"}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":100,"headerTimeoutS":3,"idleTimeoutS":15},
"tenants":[{"name":"w","apiKeys":["key-1"],"ratePerS":0.5,"burst":1,"priority":1}]}"#;

struct Case {
    /// What is replaced in the valid table, and by what.
    edit: (&'static str, &'static str),
    /// The first finding: severity, entry and problem.
    finding: &'static str,
    /// The differences from the valid table.
    changes: &'static [&'static str],
}

// Guards against a table that is sent with a fault, and against keys in the output.
#[test]
fn faults_and_differences_are_listed_without_keys() {
    let old = platform::operator::routing(CONFIG.as_bytes()).unwrap();
    let cases = [
        Case { edit: ("?", "?"), finding: "", changes: &[] },
        Case {
            edit: (r#""service":"s"}],"#, r#""service":"t"}],"#),
            finding: "error route r service t is not listed",
            changes: &["route r services: s 1 -> t 1"],
        },
        Case {
            edit: (r#""/a/""#, r#""a/""#),
            finding: "error route r it never matches: its prefix does not begin with a slash",
            changes: &["route r prefix: /a/ -> a/"],
        },
        Case {
            edit: ("a.example", "a.example:80"),
            finding: "error route r it never matches: its host has a port",
            changes: &["route r host: a.example -> a.example:80"],
        },
        Case {
            edit: ("a.example", "[::1]"),
            finding: "",
            changes: &["route r host: a.example -> [::1]"],
        },
        Case {
            edit: ("0.4", "0.9"),
            finding: "warning route r its latency objective is above its timeout",
            changes: &["route r latency objective: 0.4 s -> 0.9 s"],
        },
        Case {
            edit: ("16384", "36"),
            finding: "error route r its shortest request head of 37 bytes is over the limit 36",
            changes: &["limits head bytes: 16384 -> 36"],
        },
        Case {
            edit: (r#""burst":1"#, r#""burst":0"#),
            finding: "warning workspace w its quota has no burst and less than one request a second",
            changes: &["workspace w quota: 0.5 a second, burst 1 -> 0.5 a second, burst 0"],
        },
        Case {
            edit: (r#"["key-1"]"#, r#"["key-2","key-3"]"#),
            finding: "",
            changes: &["workspace w keys: 2 added, 1 removed"],
        },
        Case {
            edit: (
                r#""service":"s"}],"#,
                r#""service":"s"},{"name":"q","host":"A.example","pathPrefix":"/a/","kind":"upload","timeoutS":1,"targetLatencyS":1,"service":"s"}],"#,
            ),
            finding: "error route q it never matches: route r has its host and prefix",
            changes: &["route q added"],
        },
        Case {
            edit: (r#""kind":"safe""#, r#""kind":"upload","maxAttempts":2"#),
            finding: "note route r its requests run at most once; further attempts only follow those not run",
            changes: &["route r repeat: safe -> never", "route r attempts: 1 -> 2"],
        },
        Case {
            edit: (r#""idleTimeoutS":15"#, r#""idleTimeoutS":2"#),
            finding: "warning limits the idle timeout is below the timeout for heads",
            changes: &["limits idle timeout: 15 s -> 2 s"],
        },
        Case {
            edit: (r#""tenants":["#, r#""tenants":[{"name":"v","apiKeys":["k"],"priority":1},"#),
            finding: "warning workspaces all have the same priority, so that it ranks none before another",
            changes: &["workspace v added"],
        },
        Case {
            edit: (r#""services":["#, r#""services":[{"name":"u","healthPath":"/"},"#),
            finding: "warning service u no route uses it",
            changes: &["service u added"],
        },
    ];
    for Case { edit, finding, changes } in cases {
        let text = CONFIG.replace(edit.0, edit.1).replace(r#""version":7"#, r#""version":8"#);
        let new = platform::operator::routing(text.as_bytes()).unwrap();
        let (findings, differences) = compare(&new, Some(&old));
        let found: Vec<String> = findings
            .iter()
            .map(|one| format!("{} {} {}", one.severity.name(), one.entry, one.problem))
            .collect();
        assert_eq!(found.first().map_or("", String::as_str), finding, "{edit:?}");
        let differences: Vec<String> =
            differences.iter().map(|one| format!("{} {}", one.entry, one.change)).collect();
        assert_eq!(differences, changes, "{edit:?}");
    }
    let (findings, _) = compare(&old, Some(&old));
    assert_eq!(findings[0].problem, "7 is not above 7 in force");
}
