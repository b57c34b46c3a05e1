#[test]
fn status_is_shown_even_if_fields_are_missing() {
    let v = serde_json::json!({"leader": true, "term": 3,
        "members": [{"name": "n1", "alive": true, "votes": true, "ready": false}],
        "holdings": [{"service": "s", "from": 0, "to": 9, "worker": "w", "fence": 4, "leaving": true}]});
    let text = super::show(&v);
    assert!(
        text.contains("term 3") && text.contains("alive votes") && text.contains("fence 4  leaving"),
        "{text}"
    );
}

#[test]
fn the_state_of_the_core_is_shown() {
    let core = serde_json::json!({"leads": false, "silent_ms": 4200, "in_contact": false, "term": 9,
        "voters": 6, "majority": 4, "orders": {"configurations": 12, "ahead": 0, "others": 3},
        "roll_change_under_way": true});
    let text = super::show(&serde_json::json!({ "core": core }));
    for part in [
        "no word of a majority for 4200 ms",
        "voters 6, majority 4",
        "a change of the voters is under way",
        "orders remembered: 12 configurations, 3 others",
    ] {
        assert!(text.contains(part), "{part:?} in {text}");
    }
    let core = serde_json::json!({"leads": true, "in_contact": true, "voters": 6, "majority": 4,
        "live": 5, "caught_up": 5, "learning": 1, "further_losses": 1, "bears_tolerance": true});
    let text = super::show(&serde_json::json!({ "core": core }));
    assert!(
        text.contains("live 5, caught up 5, learning 1; bears 1 further loss"),
        "{text}"
    );
}
