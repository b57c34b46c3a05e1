//! Retry budget of a service.

use balancer::RetryBudget;

#[test]
fn retries_in_any_window_stay_within_ratio_and_slack() {
    let mut budget = RetryBudget::default();
    assert!(
        !budget.try_take(0, 10_000, 0.2, 0.0),
        "without requests nothing is allowed"
    );
    let mut allowed = 0;
    for i in 0..200 {
        budget.note_first(i * 50, 10_000);
        allowed += u32::from(budget.try_take(i * 50, 10_000, 0.2, 3.0));
    }
    assert!((40..=43).contains(&allowed), "{allowed} retries were allowed");
    assert!(
        !budget.try_take(30_000, 10_000, 0.2, 0.0),
        "the window has moved on"
    );
}
