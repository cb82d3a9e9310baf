//! Runs the soak test briefly with the real binary.
//!
//! Guards against faults that only occur between processes: calls that run twice, false refusals,
//! lost responses, daemons that do not exit or do not recover. Long runs are started by hand, see
//! docs/soak.md.

use std::path::PathBuf;
use std::time::Duration;

use rstest::rstest;
use soak::run::{RunOptions, run_seed};

#[rstest]
#[case::planned_maintenance(0)]
#[case::all_fault_classes(5)]
#[case::store_restored_and_endpoints_limited(1_003)]
fn guarantees_hold_under_faults(#[case] seed: u64) {
    let process = std::process::id();
    let directory = std::env::temp_dir().join(format!("soak-{process}-{seed}"));
    std::fs::create_dir_all(&directory).expect("directory is created");
    let options = RunOptions {
        program: PathBuf::from(env!("CARGO_BIN_EXE_sapphiredoor")),
        directory: directory.clone(),
        seed,
        vms: 4,
        fault_time: Duration::from_secs(6),
        settle_time: Duration::from_secs(6),
    };
    let outcome = run_seed(&options).expect("the stand-ins and the daemons start");
    assert!(outcome.requests > 0 && outcome.faults > 0, "{outcome:?}");
    assert!(
        outcome.violations.is_empty(),
        "{:#?}; logs: {}",
        outcome.violations,
        directory.display()
    );
    std::fs::remove_dir_all(&directory).expect("directory is removed");
}
