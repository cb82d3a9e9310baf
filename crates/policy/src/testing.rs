//! Helpers of the fuzz tests.

use std::env;

use proptest::strategy::Strategy;
use proptest::test_runner::{Config, RngSeed, TestCaseError, TestError, TestRunner};

/// Returns a configuration of `cases` cases with a fixed seed, unless `PROPTEST_CASES` or
/// `PROPTEST_RNG_SEED` is set.
pub(crate) fn fuzz_config(cases: u32) -> Config {
    let environment = Config::default();
    let is_set = |name| env::var_os(name).is_some();
    Config {
        cases: if is_set("PROPTEST_CASES") {
            environment.cases
        } else {
            cases
        },
        rng_seed: if is_set("PROPTEST_RNG_SEED") {
            environment.rng_seed
        } else {
            RngSeed::Fixed(20)
        },
        failure_persistence: None,
        ..environment
    }
}

/// Runs `check` until it reports a violation and returns the violation after shrinking.
///
/// Panics if `check` accepts every case, because the oracle then did not notice the missing
/// safeguard.
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
    let outcome =
        TestRunner::new(config).run(strategy, |value| check(value).map_err(TestCaseError::fail));
    match outcome {
        Err(TestError::Fail(reason, _)) => reason.message().to_owned(),
        other => {
            panic!("the oracle did not notice the missing safeguard in {cases} cases: {other:?}")
        }
    }
}
