//! Orders judged by the log alone: every history of two operators over a few bases, sent
//! again in any order and after any snapshot, and orders without a base by their tags.

use config::constants as c;
use control_state::Stage;
use control_state::{encode_change, encode_order, Judgement, Outcome};
use protocol::{ChangeKind, EvacuationChange, OrderTag, ReplaceOrder};
use std::collections::BTreeMap;

fn order(base: u64, version: u64, note: &str) -> ReplaceOrder {
    let body = format!(
        r#"{{"Version":{version},"Limits":{{"HeaderMaxBytes":1,"BodyMaxBytes":1,"HeaderTimeout":"1s","IdleTimeout":"1s"}},"AccessPoints":[],"Groups":[],"Note":"{note}"}}"#
    );
    ReplaceOrder {
        base,
        body: body.into_bytes(),
        ..Default::default()
    }
}

fn send(stage: &mut Stage, order: &ReplaceOrder) -> Outcome {
    let data = encode_change(ChangeKind::Replace(order.clone()));
    stage.apply(stage.index + 1, &data)
}

fn restored(stage: &Stage) -> Stage {
    Stage::from_image(stage.image()).expect("readable")
}

#[test]
fn an_order_that_was_taken_is_never_refused_however_late_it_comes_again() {
    let mut stage = Stage::default();
    let orders: Vec<_> = (1..=40).map(|v| order(v - 1, v, "one")).collect();
    for o in &orders {
        assert_eq!(send(&mut stage, o), Outcome::Applied);
    }
    let mut stage = restored(&stage);
    for o in &orders {
        assert_eq!(send(&mut stage, o), Outcome::Already, "on {}", o.base);
        let other = order(o.base, o.base + 1, "another operator's");
        assert_eq!(send(&mut stage, &other), Outcome::Lost(40), "on {}", o.base);
    }
    assert_eq!(stage.version(), 40);
}

#[test]
fn what_is_forgotten_is_neither_refused_nor_confirmed() {
    let mut stage = Stage::default();
    let last = c::TAKEN_KEPT as u64 + 10;
    for v in 1..=last {
        assert_eq!(send(&mut stage, &order(v - 1, v, "one")), Outcome::Applied);
    }
    let mut stage = restored(&stage);
    for v in 1..=last {
        let wanted = if v <= 10 {
            Outcome::Unclear
        } else {
            Outcome::Already
        };
        assert_eq!(send(&mut stage, &order(v - 1, v, "one")), wanted, "version {v}");
    }
    assert_eq!(send(&mut stage, &order(3, 4, "two")), Outcome::Unclear);
    assert_eq!(send(&mut stage, &order(50, 51, "two")), Outcome::Lost(last));
    assert_eq!(stage.ledger.sizes(), (c::TAKEN_KEPT, 0, 0));
}

#[test]
fn what_is_invalid_by_itself_is_refused_on_a_forgotten_base_too() {
    let mut stage = Stage::default();
    for v in 1..=c::TAKEN_KEPT as u64 + 10 {
        assert_eq!(send(&mut stage, &order(v - 1, v, "one")), Outcome::Applied);
    }
    let broken = ReplaceOrder {
        base: 0,
        body: b"{".to_vec(),
        ..Default::default()
    };
    assert!(matches!(send(&mut stage, &broken), Outcome::Invalid(_)));
    assert_eq!(send(&mut stage, &order(0, 1, "two")), Outcome::Unclear);
}

#[test]
fn an_order_refused_ahead_of_its_base_stays_refused() {
    let mut stage = Stage::default();
    send(&mut stage, &order(0, 1, "one"));
    let early = order(2, 3, "early");
    assert_eq!(send(&mut stage, &early), Outcome::Lost(1));
    send(&mut stage, &order(1, 2, "one"));
    let mut stage = restored(&stage);
    assert_eq!(send(&mut stage, &early), Outcome::Lost(2), "its refusal was told");
    assert_eq!(send(&mut stage, &order(2, 3, "in time")), Outcome::Applied);
    // As many as are remembered; beyond that nothing is promised.
    for i in 0..c::AHEAD_KEPT as u64 {
        assert_eq!(send(&mut stage, &order(90 + i, 200, "")), Outcome::Lost(3));
    }
    assert_eq!(send(&mut stage, &order(80, 200, "")), Outcome::Unclear);
}

#[test]
fn a_modify_is_logged_as_the_change_it_is_and_known_again() {
    let mut stage = Stage::default();
    send(&mut stage, &order(0, 3, "kept"));
    let modify = |base: u64, text: &str| ReplaceOrder {
        base,
        amendment: text.as_bytes().to_vec(),
        ..Default::default()
    };
    let add = modify(3, r#"{"Version":5,"Upsert":{"Groups":[{"Name":"t"}]}}"#);
    assert_eq!(send(&mut stage, &add), Outcome::Applied);
    assert_eq!(send(&mut stage, &order(5, 6, "next")), Outcome::Applied);
    let mut stage = restored(&stage);
    assert_eq!(
        send(&mut stage, &add),
        Outcome::Already,
        "also behind a later change"
    );
    let other = modify(3, r#"{"Version":5,"Upsert":{"Groups":[{"Name":"u"}]}}"#);
    assert_eq!(send(&mut stage, &other), Outcome::Lost(6));
    let low = modify(6, r#"{"Version":5}"#);
    assert!(matches!(send(&mut stage, &low), Outcome::Invalid(_)));
}

/// A leader that was cut off holds version 1; since then 2 and 3 were taken elsewhere.
#[test]
fn an_old_copy_says_nothing_final_before_a_majority_has_confirmed_it() {
    let mut old = Stage::default();
    send(&mut old, &order(0, 1, "one"));
    let mut new = restored(&old);
    send(&mut new, &order(1, 2, "one"));
    send(&mut new, &order(2, 3, "one"));
    let orders = [
        order(0, 1, "one"),
        order(0, 1, "two"),
        order(1, 2, "two"),
        order(2, 9, "two"),
        order(3, 4, "one"),
        order(1, 1, "low"),
    ];
    for o in &orders {
        assert!(
            !matches!(old.judge_order(o, false), Judgement::Final(_)),
            "{}",
            o.base
        );
        // What is said by a copy that is confirmed is what the log comes to.
        match new.judge_order(o, true) {
            Judgement::Final(outcome) => assert_eq!(outcome, send(&mut new.clone(), o)),
            judgement => assert_eq!((judgement, o.base), (Judgement::Log, 3)),
        }
    }
}

/// Two operators with three orders each on three bases; every history of six steps in
/// which any of them is sent (again) or the state goes through a snapshot.
#[test]
fn every_history_of_two_operators() {
    const STEPS: usize = 6;
    let all: Vec<ReplaceOrder> = (0..3)
        .flat_map(|base| ["one", "two"].map(|who| order(base, base + 1, who)))
        .collect();
    let mut histories = 0;
    let mut todo = vec![(Stage::default(), BTreeMap::<usize, bool>::new(), 0)];
    while let Some((stage, told, depth)) = todo.pop() {
        histories += 1;
        if depth == STEPS {
            continue;
        }
        for (i, o) in all.iter().enumerate() {
            let mut next = if depth % 3 == 2 {
                restored(&stage)
            } else {
                stage.clone()
            };
            let mut told = told.clone();
            let outcome = send(&mut next, o);
            let taken = match outcome {
                Outcome::Applied => {
                    assert!(!told.contains_key(&i), "carried out twice or after a refusal");
                    true
                }
                Outcome::Already => true,
                Outcome::Lost(_) => false,
                other => panic!("{other:?}"),
            };
            assert_eq!(*told.entry(i).or_insert(taken), taken, "order {i} told both");
            let rival = i ^ 1;
            assert!(!(taken && told.get(&rival) == Some(&true)), "two on one base");
            todo.push((next, told, depth + 1));
        }
    }
    assert!(histories > 50_000, "{histories} histories");
}

fn evacuation(begin: bool) -> ChangeKind {
    ChangeKind::Evacuate(EvacuationChange {
        zone: "z".into(),
        begin,
    })
}

fn tag(number: u64, as_of: u64, begin: bool) -> OrderTag {
    OrderTag {
        life: 7,
        number,
        as_of,
        subject: 1,
        digest: 2 + u64::from(begin),
        again: 0,
        cautious: false,
    }
}

#[test]
fn an_order_passed_on_twice_counts_once_by_any_leader() {
    let mut stage = Stage::default();
    let begin = tag(1, 0, true);
    let send = |stage: &mut Stage, tag: &OrderTag, begin: bool| {
        stage.apply(
            stage.index + 1,
            &encode_order(evacuation(begin), Some(tag.clone())),
        )
    };
    assert_eq!(send(&mut stage, &begin, true), Outcome::Applied);
    let mut stage = restored(&stage);
    assert_eq!(send(&mut stage, &begin, true), Outcome::Already);
    assert_eq!(stage.evacuated["z"], 1);
    // Another operator's, and the first one sent again, as the leader takes them.
    assert_eq!(send(&mut stage, &tag(2, 2, true), true), Outcome::Applied);
    let again = OrderTag {
        again: stage.ledger.alike(&tag(3, 3, true)).expect("alike"),
        ..tag(3, 3, true)
    };
    assert_eq!(send(&mut stage, &again, true), Outcome::Already);
    assert_eq!(stage.evacuated["z"], 2);
    assert_eq!(send(&mut stage, &tag(4, 4, false), false), Outcome::Applied);
    assert_eq!(stage.ledger.alike(&tag(5, 4, true)), None, "another came between");
    // Longer ago than is remembered: not carried out, nothing promised.
    for n in 10..10 + 2 * c::ORDERS_KEPT as u64 {
        send(&mut stage, &tag(n, n, n % 2 == 0), n % 2 == 0);
    }
    let before = stage.evacuated.clone();
    assert_eq!(send(&mut stage, &begin, true), Outcome::Unclear);
    assert_eq!(stage.evacuated, before);
    assert_eq!(stage.ledger.sizes().2, c::ORDERS_KEPT);
}

/// The leader takes an order for a repeat by what it has applied, while another order on
/// the zone already stands behind that in its log.
#[test]
fn a_repeat_is_one_only_while_nothing_has_come_between() {
    let send = |stage: &mut Stage, tag: OrderTag, begin: bool| {
        stage.apply(stage.index + 1, &encode_order(evacuation(begin), Some(tag)))
    };
    let mut stage = Stage::default();
    assert_eq!(send(&mut stage, tag(1, 0, true), true), Outcome::Applied);
    let again = OrderTag {
        again: stage.ledger.alike(&tag(3, 1, true)).expect("alike"),
        ..tag(3, 1, true)
    };
    assert_eq!(send(&mut stage, tag(2, 1, false), false), Outcome::Applied);
    assert_eq!(
        send(&mut stage, again, true),
        Outcome::Applied,
        "confirmed, so in force"
    );
    assert_eq!(stage.evacuated.get("z"), Some(&1));
    // In doubt a zone stays empty: a finish that came a moment ago is a repeat, also
    // where a begin has come between.
    let finish = OrderTag {
        cautious: true,
        ..tag(4, 3, false)
    };
    assert_eq!(send(&mut stage, finish, false), Outcome::Applied);
    assert_eq!(send(&mut stage, tag(5, 4, true), true), Outcome::Applied);
    let finish = OrderTag {
        cautious: true,
        ..tag(6, 5, false)
    };
    let again = stage.ledger.alike(&finish).expect("alike");
    assert_eq!(
        send(&mut stage, OrderTag { again, ..finish }, false),
        Outcome::Already
    );
    assert_eq!(stage.evacuated.get("z"), Some(&1));
}

#[test]
fn an_order_under_way_is_the_one_that_is_repeated() {
    let mut stage = Stage::default();
    let mut first = tag(1, 0, true);
    let ledger = &stage.ledger;
    // The first stands in the log and is not applied yet.
    let log = [(1, &first)];
    let again = ledger.repeated(&tag(2, 0, true), log.into_iter(), |_| false);
    assert_eq!(again, Some(1));
    // What came between is for the log to see.
    let finish = tag(2, 0, false);
    let log = [(1, &first), (2, &finish)];
    assert_eq!(
        ledger.repeated(&tag(3, 0, true), log.into_iter(), |_| true),
        Some(1)
    );
    let mut between = stage.clone();
    for (index, tag, begin) in [
        (1, tag(1, 0, true), true),
        (2, tag(2, 0, false), false),
        (3, tag(3, 0, true), true),
    ] {
        let again = u64::from(index == 3);
        between.apply(
            index,
            &encode_order(evacuation(begin), Some(OrderTag { again, ..tag })),
        );
    }
    assert_eq!(between.evacuated.get("z"), Some(&1), "the second begin counts");
    for (index, tag) in [(1, tag(1, 0, true)), (2, tag(2, 0, true))] {
        let again = if index == 2 { 1 } else { 0 };
        stage.apply(
            index,
            &encode_order(evacuation(true), Some(OrderTag { again, ..tag })),
        );
    }
    assert_eq!(stage.evacuated.get("z"), Some(&1), "sent twice, counted once");
    first.number = 9;
    let repeated = |recent: bool| stage.ledger.repeated(&first, std::iter::empty(), |_| recent);
    assert_eq!((repeated(true), repeated(false)), (Some(1), None));
}

#[test]
fn repeats_of_repeats_count_once() {
    // All sent while the first was under way: each names the one before.
    let mut stage = Stage::default();
    for index in 1..=4 {
        let tag = OrderTag {
            again: index - 1,
            ..tag(index, 0, true)
        };
        stage.apply(index, &encode_order(evacuation(true), Some(tag)));
    }
    assert_eq!(stage.evacuated.get("z"), Some(&1));
    // A repeat that changed nothing does not come between.
    let mut stage = Stage::default();
    let steps = [(1, false, 0), (2, true, 0), (3, false, 1), (4, true, 2)];
    for (index, begin, again) in steps {
        let tag = OrderTag {
            again,
            cautious: !begin,
            ..tag(index, 0, begin)
        };
        stage.apply(index, &encode_order(evacuation(begin), Some(tag)));
    }
    assert_eq!(stage.evacuated.get("z"), Some(&1));
}
