//! Limit on the share of requests that a new version gets during a rollout.

use balancer::ExposureCounter;

#[test]
fn rejected_requests_are_not_counted_and_another_rollout_starts_a_new_count() {
    let mut exposure = ExposureCounter::default();
    exposure.begin(5);
    let mut sent_to_new = 0;
    for i in 0..1000 {
        if i % 2 == 0 {
            continue; // The request is rejected, so nothing is sent.
        }
        let is_new_version = exposure.may_try_new(Some(0.1));
        exposure.note_sent(true, is_new_version);
        sent_to_new += u32::from(is_new_version);
    }
    assert_eq!(sent_to_new, 50, "a tenth of the requests that were sent");
    exposure.begin(9);
    assert!(
        !exposure.may_try_new(Some(0.1)),
        "a new count allows no request to the new version"
    );
    assert!(exposure.may_try_new(None));
}
