//! Guards against a start with settings that do not fit, and against messages that name no remedy.

use expect_test::expect;

use super::Settings;
use crate::testing::SETTINGS as GOOD;

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
    expect!["the settings have a wrong field: colour: unknown field `colour`, expected one of `vm`, `data_centre`, `endpoint`, `listen`, `seeds`, `store`, `bounds`"]
        .assert_eq(&error(&GOOD.replace("\"vm\":", "\"colour\": 1, \"vm\":")));
}
