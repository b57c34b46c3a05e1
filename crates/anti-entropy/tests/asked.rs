//! A mend says of the ranges that it leaves out only that they were equal to what
//! was asked about. On a copy that has changed since it makes a state that never was.

use anti_entropy::{digests, repair_for, repaired, repaired_since};
use control_state::ControlState;
use protocol::{Change, ChangeKind, EvacuationChange};

fn evacuate(stage: &ControlState, begin: bool) -> ControlState {
    let zone = "z".to_string();
    let mut next = stage.clone();
    let change = ChangeKind::Evacuate(EvacuationChange { zone, begin });
    next.apply(stage.index + 1, &Change::encode(change));
    next
}

#[test]
fn a_second_mend_to_one_question_is_taken_only_if_nothing_changed_meanwhile() {
    // The zone is empty for a moment, as it was twice before: begun, taken back.
    let mut before = ControlState::default();
    for begin in [true, true, false] {
        before = evacuate(&before, begin);
    }
    let during = evacuate(&before, true);
    let after = evacuate(&during, false);
    // Two peers are asked at once; one answers late, from a newer copy.
    let asked = digests(&before);
    let first = repair_for(&during, &asked).expect("it is newer");
    let second = repair_for(&after, &asked).expect("it is newer");
    let mine = repaired_since(&before, &asked, &first).expect("just as asked");
    assert_eq!(mine.image(), during.image());
    let wrong = repaired(&mine, &second).expect("it is taken");
    assert_ne!(wrong.image(), after.image(), "a state that never was");
    assert!(repaired_since(&mine, &asked, &second).is_none());
    let asked = digests(&mine);
    let third = repair_for(&after, &asked).expect("it is newer");
    let mine = repaired_since(&mine, &asked, &third).expect("just as asked");
    assert_eq!(mine.image(), after.image());
}
