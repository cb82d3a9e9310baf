use rstest::rstest;

use super::*;

const EXAMPLES: [(&str, &str); 5] = [
    (
        "calor-vivero",
        include_str!("../../../../examples/calor-vivero.scenario.jsonc"),
    ),
    (
        "calor-vivero-short",
        include_str!("../../../../examples/calor-vivero-short.scenario.jsonc"),
    ),
    (
        "marnota",
        include_str!("../../../../examples/marnota.scenario.jsonc"),
    ),
    (
        "marnota-short",
        include_str!("../../../../examples/marnota-short.scenario.jsonc"),
    ),
    (
        "marnota-faults",
        include_str!("../../../../examples/marnota-faults.scenario.jsonc"),
    ),
];

fn example(name: &str) -> Scenario {
    let (_, text) = EXAMPLES
        .iter()
        .find(|(key, _)| *key == name)
        .expect("example exists");
    parse_jsonc(text).expect("example is valid")
}

/// Guards against examples that do not parse, and rules that a daemon would reject.
#[test]
fn examples_are_valid() {
    for (name, _) in EXAMPLES {
        let scenario = example(name);
        scenario.check_names().expect("all names are declared");
        let disturbed = scenario.disturbed_phases();
        if name == "marnota-faults" {
            let count = disturbed.iter().filter(|disturbed| **disturbed).count();
            assert_eq!(count, 8, "{name}");
        } else {
            assert_eq!(
                disturbed,
                [false, true, false, true, false, true, false],
                "{name}"
            );
        }
        for line in &scenario.rules {
            let (rule, author) = line
                .rsplit_once("// asked by ")
                .expect("line names its author");
            assert!(!author.is_empty());
            let _: policy::rule::Rule = serde_json::from_str(rule).expect("rule is valid");
        }
    }
}

/// Guards against a misspelt name that silently disables a fault or a rate change.
#[rstest]
#[case::child("despacho", "dispatch")]
#[case::service("inventario", "inventory")]
#[case::class("telemetry", "telemetria")]
fn undeclared_names_are_rejected(#[case] name: &str, #[case] changed: &str) {
    let mut scenario = example("calor-vivero");
    for service in &mut scenario.services {
        for child in service
            .children
            .iter_mut()
            .filter(|child| child.service == name)
        {
            child.service = changed.to_owned();
        }
    }
    scenario.classes.retain(|class| class.name != name);
    assert!(matches!(
        scenario.check_names(),
        Err(Error::Undeclared { .. })
    ));
}

/// Guards against a fault that persists, a failed VM that recovers, and a run that is not counted.
#[tokio::test]
async fn failed_vm_stays_down_and_runs_are_counted() {
    let mut scenario = example("marnota-short");
    scenario.rate = 100.0;
    for service in &mut scenario.services {
        service.service_ms = 0.0;
    }
    for class in &mut scenario.classes {
        class.resends = 0;
        class.deadline_ms = 60_000;
        class.timeout_ms = 60_000;
    }
    // Nothing is in flight when the VM fails.
    let names = scenario.classes.iter().map(|class| class.name.clone());
    let mut failing = Phase {
        name: "failure".to_owned(),
        seconds: 0.5,
        factors: names.map(|name| (name, 0.0)).collect(),
        ..Phase::default()
    };
    failing.failures.push(VmEvent {
        service: "origem".to_owned(),
        upstream: 0,
        after_ms: 400,
    });
    let calm = Phase {
        name: "calm".to_owned(),
        seconds: 0.2,
        ..Phase::default()
    };
    scenario.phases = vec![calm.clone(), failing, calm];
    let outcome = run(&scenario, None, Path::new("unused"))
        .await
        .expect("scenario runs");
    let classes = &outcome.results.classes;
    let served = |phase: usize| {
        classes
            .iter()
            .map(|class| class.phases[phase].served)
            .sum::<u64>()
    };
    let offered = |phase: usize| {
        classes
            .iter()
            .map(|class| class.phases[phase].offered)
            .sum::<u64>()
    };
    assert_eq!(served(0), offered(0));
    assert!(
        served(2) < offered(2),
        "a third of the calls reach the failed VM"
    );
    assert_eq!(outcome.results.not_run_but_ran, Some(0));
    assert!(outcome.runs.runs >= 3 * served(0));
}

/// Guards against a run that waits for an exited daemon, or measures without it.
#[tokio::test]
async fn exited_daemon_is_reported() {
    let scenario = example("marnota-short");
    let directory = std::env::temp_dir().join(format!("standin-test-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("directory is writable");
    // The test binary itself rejects the arguments of the daemon and exits.
    let binary = std::env::current_exe().expect("binary has a path");
    let result = run(&scenario, Some(&binary), &directory).await;
    let settings = std::fs::read_to_string(directory.join("origem-0.jsonc"));
    std::fs::remove_dir_all(&directory).expect("directory is writable");
    assert!(
        matches!(result, Err(Error::DaemonNotReady { .. })),
        "{result:?}"
    );
    let settings = settings.expect("settings were written");
    let settings: serde_json::Value = parse_jsonc(&settings).expect("settings are valid");
    assert_eq!(settings["data_centre"], "pt-centro-a");
    assert_eq!(settings["contacts"].as_array().map(Vec::len), Some(3));
}
