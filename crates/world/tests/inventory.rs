//! Parsing and validation of inventories, the rules for requests, and the list of result codes.

use expect_test::{Expect, expect};
use world::{Class, Code, Config, parse};

const VALID: &str = r#"
tenant = "riddim"

[[data_centre]]
name = "kingston"
region = "jamaica"

[[data_centre]]
name = "abroad"
region = "elsewhere"
out = true

[[vm]]
name = "vm-1"
data_centre = "kingston"
address = "10.0.0.1"

[[link]]
from = "kingston"
to = "abroad"
rtt_ms = 30.5

[[service]]
name = "listings"
route = "/listings"
deadline_ms = 2000
cold_slots = 2
warm_answers = 4

[[service]]
name = "bookings"
route = "/listings/book"
class = "favoured"
deadline_ms = 3000
cold_slots = 2
warm_answers = 4

[[contract]]
service = "bookings"
method = "POST"
path = "/listings/book"
never_repeat = true
key_header = "Deposit-Key"
key_required = true

[[contract]]
service = "listings"
path = "/listings/check"
class = "internal"
"#;

#[test]
fn a_valid_document_is_parsed() {
    let inventory = parse(VALID).unwrap();
    let names: Vec<&str> = inventory.data_centres.iter().map(|dc| &*dc.name).collect();
    assert_eq!(names, ["abroad", "kingston"], "sorted by name");
    assert!(inventory.is_out("abroad") && !inventory.is_out("kingston"));
    assert_eq!(inventory.rtt_us("abroad", "kingston"), 30_500);
    assert_eq!(inventory.rtt_us("kingston", "kingston"), 100);
}

struct FaultCase {
    name: &'static str,
    from: &'static str,
    to: &'static str,
    faults: Expect,
}

#[test]
fn every_fault_is_reported_with_its_position() {
    let cases = [
        FaultCase {
            name: "unknown field",
            from: "region = \"jamaica\"",
            to: "region = \"jamaica\"\ncolour = \"red\"",
            faults: expect![
                "7:1: 1001 the inventory is not valid TOML or has an unknown or missing field: unknown field `colour`, expected one of `name`, `region`, `out`"
            ],
        },
        FaultCase {
            name: "duplicate name",
            from: "name = \"abroad\"",
            to: "name = \"kingston\"",
            faults: expect![[r#"
                9:8: 1002 two entries have the same name: data centre "kingston" is listed twice
                20:6: 1003 an entry refers to a name that does not exist: no data centre is named "abroad""#]],
        },
        FaultCase {
            name: "dangling reference",
            from: "data_centre = \"kingston\"",
            to: "data_centre = \"kingstown\"",
            faults: expect![[
                r#"15:15: 1003 an entry refers to a name that does not exist: no data centre is named "kingstown""#
            ]],
        },
        FaultCase {
            name: "impossible numbers",
            from: "deadline_ms = 2000\ncold_slots = 2",
            to: "deadline_ms = 0\ncold_slots = 0",
            faults: expect![
                "
                26:15: 1004 a number is outside its range: deadline_ms is 0, not in 1 to 600000
                27:14: 1004 a number is outside its range: cold_slots is 0, not in 1 to 1000"
            ],
        },
        FaultCase {
            name: "link to itself",
            from: "to = \"abroad\"\nrtt_ms = 30.5",
            to: "to = \"kingston\"\nrtt_ms = -1.0",
            faults: expect![
                "
                20:6: 1002 two entries have the same name: a link joins two data centres
                21:10: 1004 a number is outside its range: rtt_ms is -1, not in 0.001 to 10000"
            ],
        },
        FaultCase {
            name: "bad name and route",
            from: "name = \"listings\"\nroute = \"/listings\"",
            to: "name = \"Listings!\"\nroute = \"listings\"",
            faults: expect![[r#"
                24:8: 1005 a name is empty, too long or has characters other than a-z 0-9 - _ .: "Listings!"
                25:9: 1005 a name is empty, too long or has characters other than a-z 0-9 - _ .: "listings" is not a path that starts with /
                47:11: 1003 an entry refers to a name that does not exist: no service is named "listings""#]],
        },
        FaultCase {
            name: "key without never_repeat",
            from: "never_repeat = true\n",
            to: "",
            faults: expect![
                "41:8: 1006 a contract contradicts itself: key_header and key_required need never_repeat = true"
            ],
        },
        FaultCase {
            name: "not TOML",
            from: "tenant = ",
            to: "tenant : ",
            faults: expect![
                "2:8: 1001 the inventory is not valid TOML or has an unknown or missing field: key with no value, expected `=`"
            ],
        },
    ];
    for case in cases {
        let text = VALID.replace(case.from, case.to);
        assert_ne!(text, VALID, "{}", case.name);
        let faults = parse(&text).expect_err(case.name);
        let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
        case.faults.assert_eq(&lines.join("\n"));
    }
}

struct RuleCase {
    method: &'static str,
    path: &'static str,
    service: Option<&'static str>,
    class: Class,
    idempotent: bool,
    key: Option<&'static str>,
}

#[test]
fn requests_get_the_rules_of_their_service_and_contract() {
    let inventory = parse(VALID).unwrap();
    let listings = Some("listings");
    let cases = [
        RuleCase {
            method: "GET",
            path: "/listings/7?x=/y",
            service: listings,
            class: Class::Normal,
            idempotent: true,
            key: None,
        },
        RuleCase {
            method: "POST",
            path: "/listings",
            service: listings,
            class: Class::Normal,
            idempotent: false,
            key: None,
        },
        RuleCase {
            method: "GET",
            path: "/listings/check/3",
            service: listings,
            class: Class::Internal,
            idempotent: true,
            key: None,
        },
        RuleCase {
            method: "GET",
            path: "/listings/checks",
            service: listings,
            class: Class::Normal,
            idempotent: true,
            key: None,
        },
        RuleCase {
            method: "POST",
            path: "/listings/book",
            service: Some("bookings"),
            class: Class::Favoured,
            idempotent: false,
            key: Some("deposit-key"),
        },
        RuleCase {
            method: "GET",
            path: "/listings/book/1",
            service: Some("bookings"),
            class: Class::Favoured,
            idempotent: true,
            key: None,
        },
        RuleCase {
            method: "GET",
            path: "/other",
            service: None,
            class: Class::Normal,
            idempotent: true,
            key: None,
        },
    ];
    for case in cases {
        let rule = inventory.rule(case.method, case.path);
        assert_eq!(rule.as_ref().map(|rule| &*rule.service), case.service, "{}", case.path);
        let Some(rule) = rule else { continue };
        assert_eq!((rule.class, rule.idempotent), (case.class, case.idempotent), "{}", case.path);
        assert_eq!(rule.key_header.as_deref(), case.key, "{}", case.path);
    }
}

#[test]
fn operator_changes_override_the_document() {
    let mut config = Config { version: 1, base: 1, document: VALID.into(), ..Config::default() };
    config.mark(&"kingston".into(), true);
    config.mark(&"abroad".into(), false);
    let inventory = config.inventory().unwrap();
    assert!(inventory.is_out("kingston") && !inventory.is_out("abroad"));
    config.mark(&"kingston".into(), false);
    assert!(!config.inventory().unwrap().is_out("kingston"));
    assert!(config.out.is_empty());
}

#[test]
fn the_error_table_in_the_docs_matches_the_codes() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/ERRORS.md");
    let page = std::fs::read_to_string(path).unwrap();
    let row = |code: &Code| {
        let status = match code.number() {
            2000..=2999 => code.status().to_string(),
            _ => "-".to_owned(),
        };
        let exit = match code.number() {
            1000..=1999 | 3000..=4999 => code.exit().to_string(),
            _ => "-".to_owned(),
        };
        format!("| {} | {} | {status} | {exit} |", code.number(), code.text())
    };
    let table: Vec<String> = Code::ALL.iter().map(row).collect();
    let listed: Vec<&str> = page.lines().filter(|line| line.starts_with("| ")).skip(2).collect();
    assert_eq!(listed, table, "docs/ERRORS.md does not list the codes as they are");
    let sorted = Code::ALL.windows(2).all(|pair| pair[0].number() < pair[1].number());
    assert!(sorted, "Code::ALL is not sorted by number");
}
