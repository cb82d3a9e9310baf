//! Guards against retries beyond the operators' bound when all daemons retry as much as they may.

use std::time::{Duration, Instant};

use super::{FleetRetryBudget, RetryBound};
use crate::id::ServiceName;

const BOUND: RetryBound = RetryBound {
    ratio: 0.2,
    slack: 48.0,
    window: Duration::from_secs(10),
};

#[test]
fn all_daemons_together_stay_under_the_bound_in_any_window() {
    for daemons in [1, 3, 13, 60, 300] {
        for calls in [0_u32, 1, 10] {
            let start = Instant::now();
            let service: ServiceName = "s".into();
            let mut budget = FleetRetryBudget::new(BOUND);
            let mut retries: Vec<u64> = Vec::new();
            for ms in (0..60_000_u64).step_by(10) {
                let now = start + Duration::from_millis(ms);
                if ms % 1_000 < u64::from(calls) * 10 {
                    budget.record_call(now, &service, daemons);
                }
                while budget.try_take(now, &service, daemons) {
                    retries.push(ms);
                }
            }
            let max_in_window = retries
                .iter()
                .map(|start_ms| {
                    retries
                        .iter()
                        .filter(|at| (*start_ms..start_ms + 10_000).contains(at))
                        .count()
                })
                .max()
                .unwrap_or(0);
            let total = max_in_window * daemons;
            let bound = f64::from(calls) * 10.0 * daemons as f64 * BOUND.ratio + BOUND.slack;
            assert!(
                total as f64 <= bound,
                "{daemons} {calls}: {total} > {bound}"
            );
        }
    }
}
