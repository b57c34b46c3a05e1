//! How much a new version gets.

use balancer::ExposureCounter;

#[test]
fn rejected_requests_give_no_share_and_another_rollout_counts_anew() {
    let mut exposure = ExposureCounter::default();
    exposure.begin(5);
    let mut new = 0;
    for i in 0..1000 {
        if i % 2 == 0 {
            continue; // Asked for, and refused: nothing is sent.
        }
        let tries = exposure.may_try_new(Some(0.1));
        exposure.note_sent(true, tries);
        new += u32::from(tries);
    }
    assert_eq!(new, 50, "a tenth of what was sent");
    exposure.begin(9);
    assert!(!exposure.may_try_new(Some(0.1)), "a fresh count has nothing");
    assert!(exposure.may_try_new(None));
}
