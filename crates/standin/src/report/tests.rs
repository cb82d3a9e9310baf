use rstest::rstest;

use super::*;

fn seconds(percent: &[u32]) -> Vec<SecondStats> {
    let second = |served: &u32| SecondStats {
        offered: 100,
        served: *served,
        goodput: *served,
    };
    percent.iter().map(second).collect()
}

/// Guards against a recovery reported after a single good second, or without any.
#[rstest]
#[case::at_once(&[100, 100, 100], 1.0, Some(0))]
#[case::relapse(&[20, 96, 40, 95, 95], 1.0, Some(3))]
#[case::never(&[20, 40, 60, 94], 1.0, None)]
#[case::last_second_alone(&[20, 40, 100], 1.0, None)]
#[case::first_phase_is_the_reference(&[20, 48, 48], 0.5, Some(1))]
#[case::nothing(&[], 1.0, None)]
fn recovery_needs_stable_seconds(
    #[case] percent: &[u32],
    #[case] reference_rate: f64,
    #[case] expected: Option<usize>,
) {
    assert_eq!(
        seconds_to_recovery(&seconds(percent), reference_rate),
        expected
    );
}

/// Guards against a sum that drops the tail of the longest series.
#[test]
fn sum_covers_the_longest_series() {
    let (short, long) = (seconds(&[100]), seconds(&[50, 20]));
    let total = sum_by_second([&*short, &*long].into_iter());
    let served: Vec<_> = total.iter().map(|second| second.served).collect();
    assert_eq!(served, [150, 20]);
    assert!((success_rate(&total) - 170.0 / 300.0).abs() < 1e-9);
}
