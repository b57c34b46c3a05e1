//! Selection of the voter that relays the log to a learner.

use raft::{Upstream, UpstreamCandidate, UpstreamSelector, UpstreamTimeouts};

const TIMEOUTS: UpstreamTimeouts = UpstreamTimeouts {
    unresponsive_ms: 1000,
    backoff_ms: 5000,
};

fn candidate(id: u64, is_same_zone: bool, is_same_region: bool) -> UpstreamCandidate {
    UpstreamCandidate {
        id,
        is_same_zone,
        is_same_region,
    }
}

fn upstream(id: u64, last_heard: u64) -> Upstream {
    Upstream {
        id,
        last_heard,
        has_answered: true,
    }
}

#[test]
fn selects_the_nearest_candidate_and_replaces_an_unresponsive_one() {
    let candidates = [
        candidate(1, false, false),
        candidate(2, false, true),
        candidate(3, true, true),
    ];
    let mut selector = UpstreamSelector::default();
    let mut select = |now, current| selector.select(now, 9, current, &candidates, TIMEOUTS);
    assert_eq!(select(0, upstream(0, 0)), Some(3));
    assert_eq!(select(900, upstream(3, 0)), None, "replaced before the timeout");
    assert_eq!(select(1000, upstream(3, 0)), Some(2), "not the next nearest");
    assert_eq!(select(1500, upstream(2, 1400)), None);
    assert_eq!(select(2400, upstream(2, 1400)), Some(1));
    assert_eq!(
        select(3400, upstream(1, 2400)),
        Some(3),
        "not the one replaced longest ago"
    );
    assert_eq!(
        select(9000, upstream(1, 8990)),
        Some(3),
        "did not return to the nearest"
    );
    assert_eq!(selector.select(9000, 9, upstream(0, 0), &[], TIMEOUTS), None);
}

#[test]
fn learners_are_spread_over_equal_candidates() {
    let candidates = [candidate(5, true, true), candidate(6, true, true)];
    let select =
        |learner| UpstreamSelector::default().select(0, learner, upstream(0, 0), &candidates, TIMEOUTS);
    let first_count = (100..140).filter(|learner| select(*learner) == Some(5)).count();
    assert!((10..=30).contains(&first_count), "{first_count} of 40");
}
