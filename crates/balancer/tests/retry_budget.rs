//! The retry budget of a service.

use balancer::RetryBudget;

#[test]
fn any_window_stays_within_ratio_and_slack() {
    let mut b = RetryBudget::default();
    assert!(!b.try_take(0, 10_000, 0.2, 0.0), "no requests, no share");
    let mut given = 0;
    for t in 0..200 {
        b.note_first(t * 50, 10_000);
        given += u32::from(b.try_take(t * 50, 10_000, 0.2, 3.0));
    }
    assert!((40..=43).contains(&given), "{given}");
    assert!(!b.try_take(30_000, 10_000, 0.2, 0.0), "the window has moved on");
}
