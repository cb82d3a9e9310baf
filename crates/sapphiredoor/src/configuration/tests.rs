//! Guards against a check that passes a broken configuration, or that prints a key.

use std::path::PathBuf;

use rstest::rstest;

use crate::execute;

/// A configuration without mistakes, with one organisation.
const SOUND: &str = include_str!("../../../../platform/examples/organisations.json");

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
#[case::warning("warning", ": 2000", ": 200", None, 0, "warning  route read")]
#[case::error(
    "error",
    "\"Services\": {\"despacho\"",
    "\"Services\": {\"x\"",
    None,
    3,
    "service despacho"
)]
#[case::undecodable("undecodable", ": 2000", ": \"soon\"", None, 3, "Routes.read")]
#[case::key_of_another_type(
    "type",
    "[\"secret\"]",
    "\"secret\"",
    None,
    3,
    "organisation vivero-sabana"
)]
#[case::older("older", "", "", Some(SOUND), 3, "not higher than 7")]
#[case::changed(
    "changed",
    "\"Version\": 7",
    "\"Version\": 8",
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
