//! Search of log files for the lines of one request.

use bamboowheelctl::explain::{find_lines, format_line};
use expect_test::expect;

const LOG: &str = r#"
   1.0500 vm-1 {"timestamp":"2026-12-04T10:00:00.2Z","level":"INFO","message":"entry: refused","request":"q-1","status":503,"refusal":"full","detail":""}
{"timestamp":"2026-12-04T10:00:00.1Z","level":"INFO","message":"guard: refused","request":"q-1","waited_us":120,"refusal":"full"}
{"timestamp":"2026-12-04T10:00:00.3Z","level":"INFO","message":"entry: answered","request":"q-2"}
broken
{"timestamp":
"#;

#[test]
fn lines_of_the_request_are_found_and_unreadable_ones_counted() {
    let result = find_lines("vm-1.log", LOG, "q-1");
    assert_eq!(result.unreadable, 2);
    let shown: Vec<String> = result.lines.iter().map(format_line).collect();
    expect![[r#"
        2026-12-04T10:00:00.2Z  vm-1.log  entry: refused  refusal=full status=503
        2026-12-04T10:00:00.1Z  vm-1.log  guard: refused  refusal=full waited_us=120"#]]
    .assert_eq(&shown.join("\n"));
}

#[test]
fn a_request_that_no_line_names_has_no_lines() {
    assert!(find_lines("vm-1.log", LOG, "q-3").lines.is_empty());
}
