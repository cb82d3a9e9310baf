//! Guards against a start with settings that do not fit, and against messages that name no remedy.

use expect_test::expect;

use super::Settings;

const GOOD: &str = r#"
// Comments are allowed.
{
  "vm": "vm-1",
  "data_centre": "madrid",
  "endpoint": {"service": "s", "address": "10.0.0.1:80", "heartbeat_ms": 1500},
  "listen": {
    "calls": "10.0.0.1:1", "peers": "10.0.0.1:2", "ready": "10.0.0.1:3",
    "control": "10.0.0.1:4", "metrics": "10.0.0.1:5"
  },
  "seeds": [],
  "store": {"address": "10.0.0.9:1", "shortest_lease_ms": 1000},
  "bounds": {
    "drain_ms": 2000, "grace_s": 6, "repeat_ratio": 0.2, "repeat_slack": 48,
    "repeat_window_s": 10
  },
  "memory_mb": 260
}
"#;

fn error(text: &str) -> String {
    Settings::parse(text).unwrap_err().to_string()
}

#[test]
fn good_settings_are_read() {
    let settings = Settings::parse(GOOD).unwrap();
    assert_eq!(&*settings.vm, "vm-1");
    assert_eq!(settings.bounds.grace().as_secs(), 6);
}

#[test]
fn mistakes_are_named_with_place_and_remedy() {
    expect!["bounds.grace_s is 0; set it to a number above 0"]
        .assert_eq(&error(&GOOD.replace("\"grace_s\": 6", "\"grace_s\": 0")));
    expect!["the settings have a wrong field: .: missing field `vm`"]
        .assert_eq(&error(&GOOD.replace("\"vm\": \"vm-1\",", "")));
    expect!["the settings have a wrong field: colour: unknown field `colour`, expected one of `vm`, `data_centre`, `endpoint`, `listen`, `seeds`, `store`, `bounds`, `memory_mb`"]
        .assert_eq(&error(&GOOD.replace("\"vm\":", "\"colour\": 1, \"vm\":")));
}
