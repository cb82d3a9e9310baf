//! Guards against a check that passes a broken configuration, or that prints a key.

use std::path::PathBuf;

use rstest::rstest;

use crate::execute;

const SOUND: &str = r#"{"Version":7,"Routes":{"r":{"Host":"h","PathPrefix":"/a/","Type":"idempotent","TimeoutMs":2000,"TargetLatencyMs":1000,"Service":"despacho","MaxAttempts":2}},"Services":{"despacho":{}},"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":1048576,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Tenants":{"one":{"ApiKeys":["secret"],"RatePerS":5,"Burst":5}}}"#;

/// Writes a file of this test run and returns its path.
fn file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("sapphiredoor-{}-{name}", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path
}

fn check(case: &str, text: &str, in_force: Option<&str>) -> (u8, String) {
    let path = file(&format!("{case}-new.json"), text);
    let mut arguments = vec![
        "sapphiredoor".into(),
        "configuration".into(),
        "check".into(),
    ];
    arguments.push(path.clone().into_os_string());
    let older = in_force.map(|text| file(&format!("{case}-old.json"), text));
    if let Some(older) = &older {
        arguments.push("--in-force".into());
        arguments.push(older.clone().into_os_string());
    }
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let code = execute(arguments, &mut out, &mut err);
    for path in older.iter().chain([&path]) {
        std::fs::remove_file(path).unwrap();
    }
    out.append(&mut err);
    (code, String::from_utf8(out).unwrap())
}

#[rstest]
#[case::sound("sound", "", "", None, 0, "version 7: 0 findings")]
#[case::warning(
    "warning",
    "\"TimeoutMs\":2000",
    "\"TimeoutMs\":200",
    None,
    0,
    "warning  route r"
)]
#[case::error(
    "error",
    "\"Service\":\"despacho\"",
    "\"Service\":\"x\"",
    None,
    3,
    "service x"
)]
#[case::undecodable(
    "undecodable",
    "\"TimeoutMs\":2000",
    "\"TimeoutMs\":\"soon\"",
    None,
    3,
    "Routes.r.TimeoutMs"
)]
#[case::key_of_another_type("type", "[\"secret\"]", "\"secret\"", None, 3, "organisation one")]
#[case::older("older", "", "", Some(SOUND), 3, "not higher than 7")]
#[case::changed(
    "changed",
    "\"Version\":7",
    "\"Version\":8",
    Some(SOUND),
    0,
    "number 7 -> 8"
)]
fn the_check_reports(
    #[case] case: &str,
    #[case] old: &str,
    #[case] new: &str,
    #[case] in_force: Option<&str>,
    #[case] code: u8,
    #[case] part: &str,
) {
    let (found, text) = check(case, &SOUND.replacen(old, new, 1), in_force);
    assert_eq!(found, code, "{text}");
    assert!(text.contains(part), "{text}");
    assert!(!text.contains("secret"), "{text}");
}
