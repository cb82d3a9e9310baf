//! Guards against a change of the throttle's decisions where there are no organisations: random
//! demand is decided by it and by the rule that it had before organisations existed.

use std::time::{Duration, Instant};

use proptest::collection::vec;
use proptest::prelude::*;

use super::tests::{chain, headroom, route, trained_throttle};
use super::{
    MIN_ADMISSION_SHARE, MIN_SUCCESS_CHANCE, RESENT_SHARE_FACTOR, RESENT_TIMEOUT_FRACTION,
    ThrottleDecision,
};

/// Calls to the dependency in a run of the route, as [`trained_throttle`] has learned.
const CALLS: f64 = 8.0;

/// The rule for one route before organisations existed.
#[derive(Debug, Default)]
struct Reference {
    longest_timeout: Duration,
    credit: f64,
}

impl Reference {
    fn decide(
        &mut self,
        rank: u32,
        timeout: Duration,
        share: f64,
        accepted: f64,
    ) -> ThrottleDecision {
        let resent = timeout < self.longest_timeout.mul_f64(RESENT_TIMEOUT_FRACTION);
        self.longest_timeout = self.longest_timeout.max(timeout);
        let success_chance = accepted.powf(CALLS);
        let share = (1.0_f64.min(share))
            .min(success_chance * MIN_SUCCESS_CHANCE.recip())
            .max(MIN_ADMISSION_SHARE);
        if rank == 0 || share >= 1.0 {
            return ThrottleDecision::Admitted { share: 1.0, resent };
        }
        let factor = if resent { RESENT_SHARE_FACTOR } else { 1.0 };
        self.credit += (share * factor).min(1.0);
        if self.credit >= 1.0 {
            self.credit -= 1.0;
            return ThrottleDecision::Admitted { share, resent };
        }
        ThrottleDecision::Refused
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(500))]

    #[test]
    fn without_organisations_the_decisions_are_the_earlier_ones(
        asks in vec((0..4_u32, 3_000..5_000_u64, 0.0..1.2_f64, 0.7..1.0_f64), 1..300)
    ) {
        let mut throttle = trained_throttle();
        let mut reference = Reference::default();
        for (rank, timeout, share, accepted) in asks {
            let route = route("catalogo", rank);
            let timeout = Duration::from_millis(timeout);
            let decision = throttle.decide(Instant::now(), &chain(&route, timeout), |service| {
                (**service == *"inventario").then(|| headroom(share, accepted))
            });
            prop_assert_eq!(decision, reference.decide(rank, timeout, share, accepted));
        }
    }
}
