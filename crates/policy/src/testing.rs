//! Helpers of the fuzz tests.

use std::env;

use proptest::strategy::Strategy;
use proptest::test_runner::{Config, RngSeed, TestCaseError, TestError, TestRunner};

/// Runs `cases` cases with a fixed seed, unless `PROPTEST_CASES` or `PROPTEST_RNG_SEED` are set.
pub(crate) fn fuzz_config(cases: u32) -> Config {
    let given = Config::default();
    let set = |name| env::var_os(name).is_some();
    Config {
        cases: if set("PROPTEST_CASES") {
            given.cases
        } else {
            cases
        },
        rng_seed: if set("PROPTEST_RNG_SEED") {
            given.rng_seed
        } else {
            RngSeed::Fixed(20)
        },
        failure_persistence: None,
        ..given
    }
}

/// Runs `check` until it objects and returns the objection, with the cause after shrinking.
///
/// Panics if `check` accepts every case: the oracle has missed the defect.
pub(crate) fn find_violation<S: Strategy>(
    strategy: &S,
    cases: u32,
    check: impl Fn(S::Value) -> Result<(), String>,
) -> String {
    let config = Config {
        cases,
        rng_seed: RngSeed::Fixed(20),
        failure_persistence: None,
        max_shrink_iters: 20,
        ..Config::default()
    };
    let found =
        TestRunner::new(config).run(strategy, |value| check(value).map_err(TestCaseError::fail));
    match found {
        Err(TestError::Fail(reason, _)) => reason.message().to_owned(),
        other => panic!("the oracle missed the defect in {cases} cases: {other:?}"),
    }
}
