//! The checker finds each kind of breach, and nothing in a history without one.

use fleet_test::checker::{faults, Answer, Asked, Call, History, Order};

/// A history of orders (base, version) and of calls, each from one millisecond
/// to another.
struct Played(History);

fn orders(list: &[(u64, u64)]) -> Played {
    let order = |(n, (base, version)): (usize, &(u64, u64))| Order {
        base: *base,
        version: *version,
        body: format!("{{body of order {n}}}").into_bytes(),
    };
    Played(History {
        orders: list.iter().enumerate().map(order).collect(),
        calls: Vec::new(),
    })
}

fn ok() -> Answer {
    Answer::Good(b"{}".to_vec())
}

fn lost_race() -> Answer {
    Answer::Refused(412, "Base-Version is not the current version".into())
}

fn silence() -> Answer {
    Answer::Unclear("a second of silence".into())
}

impl Played {
    fn call(mut self, asked: Asked, from: u64, to: u64, answer: Answer) -> Played {
        self.0.calls.push(Call {
            asked,
            node: 1,
            sent: from * 1000,
            ended: to * 1000,
            answer,
        });
        self
    }

    fn sent(self, order: usize, from: u64, to: u64, answer: Answer) -> Played {
        self.call(Asked::Replace(order), from, to, answer)
    }

    /// A read that shows the configuration of an order.
    fn shows(self, order: usize, from: u64, to: u64) -> Played {
        let body = self.0.orders[order].body.clone();
        self.call(Asked::Read, from, to, Answer::Good(body))
    }

    fn breaks(self, words: &str) {
        let found = faults(&self.0);
        assert!(found.iter().any(|f| f.contains(words)), "{words}: {found:?}");
    }

    fn holds(self) {
        assert_eq!(faults(&self.0), Vec::<String>::new());
    }
}

/// Versions 1 and 2 taken one after the other.
fn two_taken(list: &[(u64, u64)]) -> Played {
    orders(list).sent(0, 0, 1, ok()).sent(1, 2, 3, ok())
}

#[test]
fn a_history_that_keeps_the_rules_has_no_fault() {
    two_taken(&[(0, 1), (1, 2), (2, 3), (2, 3), (3, 5)])
        .shows(1, 4, 5)
        // Two race; the loser hears so, the winner only when it asks again.
        .sent(2, 6, 10, silence())
        .sent(3, 6, 9, lost_race())
        .shows(2, 7, 9)
        .sent(2, 11, 12, ok())
        .sent(0, 13, 14, ok())
        // No clear answer: it may be in force or not.
        .sent(4, 15, 16, silence())
        .shows(2, 17, 18)
        .holds();
}

#[test]
fn a_read_that_overlaps_a_change_may_show_either_side_of_it() {
    let base = || orders(&[(0, 1), (1, 2)]).sent(0, 0, 1, ok()).sent(1, 2, 9, ok());
    base().shows(0, 3, 8).shows(1, 3, 4).shows(1, 10, 11).holds();
}

#[test]
fn two_changes_on_one_base_are_not_both_acknowledged() {
    two_taken(&[(0, 1), (1, 2), (1, 3)])
        .sent(2, 4, 5, ok())
        .breaks("2 changes on top of version 1");
}

#[test]
fn what_was_taken_is_not_refused() {
    two_taken(&[(0, 1), (1, 2), (2, 3)])
        .sent(2, 4, 5, ok())
        .sent(1, 6, 7, lost_race())
        .breaks("was taken, and refused with 412");
    // Nor if only a read shows that it was.
    two_taken(&[(0, 1), (1, 2), (2, 3)])
        .sent(2, 4, 5, silence())
        .shows(2, 6, 7)
        .sent(2, 8, 9, lost_race())
        .breaks("was taken, and refused with 412");
}

#[test]
fn a_good_order_is_not_refused_by_old_state() {
    two_taken(&[(0, 1), (1, 2), (2, 3)])
        .sent(2, 4, 5, lost_race())
        .breaks("on 2, the current version, was refused");
}

#[test]
fn an_order_that_a_rival_may_have_beaten_can_be_refused() {
    two_taken(&[(0, 1), (1, 2), (2, 3), (2, 4)])
        .sent(3, 4, 5, silence())
        .sent(2, 6, 7, lost_race())
        .shows(3, 8, 9)
        .holds();
}

#[test]
fn reads_do_not_go_back() {
    let list = [(0, 1), (1, 2), (2, 3)];
    two_taken(&list).shows(0, 4, 5).breaks("showed version 1 after 2");
    two_taken(&list)
        .sent(2, 4, 5, silence())
        .shows(2, 6, 7)
        .shows(1, 8, 9)
        .breaks("showed version 2 after 3");
}

#[test]
fn reads_show_what_was_sent_and_in_its_time() {
    let list = [(0, 1), (1, 2), (2, 3)];
    two_taken(&list)
        .call(Asked::Read, 4, 5, ok())
        .breaks("with what nobody sent");
    two_taken(&list)
        .shows(2, 4, 5)
        .sent(2, 6, 7, ok())
        .breaks("showed version 3 before it was sent");
    two_taken(&list)
        .call(Asked::Read, 4, 5, Answer::Refused(404, String::new()))
        .breaks("refused a read with 404");
}

#[test]
fn what_was_acknowledged_is_built_upon() {
    // 2 on 1 was acknowledged; in the end 3 on 1 is in force.
    two_taken(&[(0, 1), (1, 2), (1, 3)])
        .sent(2, 4, 5, silence())
        .shows(2, 6, 7)
        .breaks("version 2 (order 1) was acknowledged, and is not part");
}

#[test]
fn an_answer_is_one_to_its_own_call() {
    let list = [(0, 1), (1, 2)];
    let invalid = |mark: &str| Asked::Invalid(mark.into());
    let refused = Answer::Refused(400, "rule `bad-2`: RouteType is unknown".into());
    two_taken(&list)
        .call(invalid("bad-2"), 4, 5, refused.clone())
        .call(invalid("bad-2"), 6, 7, silence())
        .holds();
    two_taken(&list)
        .call(invalid("bad-1"), 4, 5, refused)
        .breaks("belongs to another call");
    two_taken(&list)
        .call(invalid("bad-1"), 4, 5, ok())
        .breaks("belongs to another call");
    let body = Answer::Good(b"{\"Version\":1}".to_vec());
    two_taken(&list)
        .sent(1, 4, 5, body.clone())
        .breaks("belongs to another call");
    let zone = Asked::Evacuate {
        zone: "z".into(),
        begin: true,
    };
    two_taken(&list)
        .call(zone, 4, 5, body.clone())
        .breaks("belongs to another call");
    two_taken(&list)
        .call(Asked::Status, 4, 5, body)
        .breaks("belongs to another call");
}
