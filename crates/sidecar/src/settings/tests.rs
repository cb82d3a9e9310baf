//! Guards against a start with invalid settings, and against messages that do not state the remedy.

use expect_test::expect;
use policy::quota::QuotaBound;
use policy::selection::Placement;

use super::Settings;
use crate::testing::SETTINGS as VALID;

fn error(text: &str) -> String {
    Settings::parse(text).unwrap_err().to_string()
}

#[test]
fn valid_settings_are_parsed() {
    let settings = Settings::parse(VALID).unwrap();
    assert_eq!(&*settings.vm, "vm-1");
    assert_eq!(settings.bounds.grace().as_secs(), 6);
    assert_eq!(settings.placement, Placement::Auto);
    let by_load = VALID.replace("\"seeds\":", "\"placement\": \"load\", \"seeds\":");
    let settings = Settings::parse(&by_load).unwrap();
    assert_eq!(settings.placement, Placement::Load);
}

/// Guards against a deployment without quotas whose settings are refused.
#[test]
fn the_bound_on_quotas_is_optional() {
    let with = |text: &str| VALID.replace("\"grace_s\": 6", &format!("\"grace_s\": 6, {text}"));
    let quota = |text: &str| Settings::parse(&with(text)).unwrap().bounds.quota_bound();
    let none = "\"quota_window_s\": null, \"quota_over\": null, \"quota_slack\": null";
    assert_eq!(quota(none), QuotaBound::default());
    assert_eq!(quota("\"quota_over\": 0.2").over.to_string(), "0.2");
    expect!["bounds.quota_window_s is 0; set it to a number above 0"]
        .assert_eq(&error(&with("\"quota_window_s\": 0")));
}

#[test]
fn errors_state_the_field_and_the_remedy() {
    expect!["bounds.grace_s is 0; set it to a number above 0"]
        .assert_eq(&error(&VALID.replace("\"grace_s\": 6", "\"grace_s\": 0")));
    expect!["the settings have an invalid field: .: missing field `vm`"]
        .assert_eq(&error(&VALID.replace("\"vm\": \"vm-1\",", "")));
    expect!["the settings have an invalid field: colour: unknown field `colour`, expected one of `vm`, `data_centre`, `endpoint`, `listen`, `seeds`, `store`, `bounds`, `placement`, `memory`"]
        .assert_eq(&error(&VALID.replace("\"vm\":", "\"colour\": 1, \"vm\":")));
}

fn with_memory(memory: &str) -> String {
    VALID.replace("\"seeds\"", &format!("\"memory\": {memory}, \"seeds\""))
}

#[test]
fn limits_of_the_process_are_derived_or_set() {
    let memory = Settings::parse(VALID).unwrap().memory;
    assert_eq!(memory.held_bytes(), 124_000_000);
    assert_eq!(memory.client_connections(), 3_000);
    let text = with_memory(r#"{"limit_mb": 512, "held_mb": 90, "client_connections": 12}"#);
    let memory = Settings::parse(&text).unwrap().memory;
    assert_eq!(memory.held_bytes(), 90_000_000);
    assert_eq!(memory.client_connections(), 12);
    expect!["memory.limit_mb is 30; set it to 44 or more, so that 8 MB are left for bodies, or set memory.held_mb"]
        .assert_eq(&error(&with_memory(r#"{"limit_mb": 30}"#)));
    expect!["memory.held_mb is 2; set it to 8 or more"]
        .assert_eq(&error(&with_memory(r#"{"held_mb": 2}"#)));
    expect!["memory.client_connections is 0; set it to 1 or more, or raise memory.descriptors above 1100"]
        .assert_eq(&error(&with_memory(r#"{"descriptors": 900}"#)));
}
