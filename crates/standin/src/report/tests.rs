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

/// Guards against a recovery that counts from a single good second, or one that never came.
#[rstest]
#[case::at_once(&[100, 100, 100], 1.0, Some(0))]
#[case::relapse(&[20, 96, 40, 95, 95], 1.0, Some(3))]
#[case::never(&[20, 40, 60, 94], 1.0, None)]
#[case::last_second_alone(&[20, 40, 100], 1.0, None)]
#[case::calm_is_the_measure(&[20, 48, 48], 0.5, Some(1))]
#[case::nothing(&[], 1.0, None)]
fn recovery_needs_stable_seconds(
    #[case] percent: &[u32],
    #[case] calm: f64,
    #[case] expected: Option<usize>,
) {
    assert_eq!(recovery(&seconds(percent), calm), expected);
}

/// Guards against series of unequal length that lose their tail in the sum.
#[test]
fn sum_covers_the_longest_series() {
    let (short, long) = (seconds(&[100]), seconds(&[50, 20]));
    let whole = sum([&*short, &*long].into_iter());
    let served: Vec<_> = whole.iter().map(|second| second.served).collect();
    assert_eq!(served, [150, 20]);
    assert!((success(&whole) - 170.0 / 300.0).abs() < 1e-9);
}
