//! Settings: every fault is listed at once, before anything is bound.

use std::process::Command;

use expect_test::{Expect, expect};

struct Wrong {
    arguments: &'static [&'static str],
    variables: &'static [(&'static str, &'static str)],
    code: i32,
    says: Expect,
}

#[test]
fn wrong_settings_are_all_told() {
    let cases = [
        Wrong {
            arguments: &[],
            variables: &[],
            code: 3,
            says: expect![[r#"
                bamboowheel: 4002 a setting is missing or wrong: --name: is needed
                bamboowheel: 4002 a setting is missing or wrong: --data-centre: is needed
                bamboowheel: 4002 a setting is missing or wrong: --listen: is needed
                bamboowheel: 4002 a setting is missing or wrong: --link: is needed
                bamboowheel: 4002 a setting is missing or wrong: --link-ca: is needed, or --dev-links
                bamboowheel: 4002 a setting is missing or wrong: --link-cert: is needed, or --dev-links
                bamboowheel: 4002 a setting is missing or wrong: --link-key: is needed, or --dev-links
                bamboowheel: 4002 a setting is missing or wrong: --store-access-key: is needed
                bamboowheel: 4002 a setting is missing or wrong: --store-secret-key: is needed
            "#]],
        },
        Wrong {
            arguments: &["--name", "vm", "--data-centre", "dc", "--dev-links", "--link-ca", "x"],
            variables: &[
                ("BAMBOOWHEEL_LISTEN", "here"),
                ("BAMBOOWHEEL_LINK", "127.0.0.1:1"),
                ("BAMBOOWHEEL_JOIN", "127.0.0.1:1,there"),
                ("BAMBOOWHEEL_STORE_ACCESS_KEY", "a"),
                ("BAMBOOWHEEL_STORE_SECRET_KEY", "b"),
                ("BAMBOOWHEEL_THREADS", "0"),
                ("BAMBOOWHEEL_LOG_LEVEL", "loud"),
            ],
            code: 3,
            says: expect![[r#"
                bamboowheel: 4002 a setting is missing or wrong: --listen: "here" is not an IP:PORT
                bamboowheel: 4002 a setting is missing or wrong: --join: "there" is not an IP:PORT
                bamboowheel: 4002 a setting is missing or wrong: --link-ca: goes without --dev-links
                bamboowheel: 4002 a setting is missing or wrong: --threads: "0" is not a number from 1 to 64
                bamboowheel: 4002 a setting is missing or wrong: --log-level: "loud" is not a level
            "#]],
        },
        Wrong {
            arguments: &["--colour", "red"],
            variables: &[],
            code: 2,
            says: expect![[r#"
                bamboowheel: 4001 the command line is wrong: unrecognized option `--colour`
            "#]],
        },
    ];
    for case in cases {
        let output = Command::new(env!("CARGO_BIN_EXE_bamboowheel"))
            .args(case.arguments)
            .env_clear()
            .envs(case.variables.iter().copied())
            .output()
            .unwrap();
        case.says.assert_eq(&String::from_utf8_lossy(&output.stderr));
        assert_eq!(output.status.code(), Some(case.code));
    }
}

#[test]
fn the_help_is_the_manual() {
    let output = Command::new(env!("CARGO_BIN_EXE_bamboowheel")).arg("--help").output().unwrap();
    let help = String::from_utf8_lossy(&output.stdout).into_owned();
    let page = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/OPERATIONS.md");
    let page = std::fs::read_to_string(page).unwrap();
    let flags: Vec<&str> = help
        .lines()
        .filter_map(|line| line.trim_start().strip_prefix("--"))
        .map(|line| line.split_whitespace().next().unwrap_or_default())
        .collect();
    assert!(flags.len() > 15, "{help}");
    for flag in flags.into_iter().filter(|flag| !["help", "version"].contains(flag)) {
        assert!(page.contains(&format!("`--{flag}`")), "--{flag} is not in docs/OPERATIONS.md");
    }
}
