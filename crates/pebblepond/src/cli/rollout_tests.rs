use super::*;

#[test]
fn list_and_show_include_states_metrics_and_records() {
    let listing = json!({"KillSwitch": true, "Figures": {"level": 1, "rollouts": {"s": {"verdict": "good",
        "old": {"answered": 9.0}, "new": {"answered": 3.0, "mean_ms": 12.4}}}},
        "Rollouts": [{"Service": "s", "TargetVersion": "v2", "Phase": "CANARY", "Stage": 0, "Share": 0.08,
            "Version": 7, "Records": [{"action": "rollback", "who": "me", "why": "for a test", "bypass": true}]}]});
    let text = list(&listing);
    assert!(
        text.contains("kill switch on") && text.contains("CANARY") && text.contains("good"),
        "{text}"
    );
    let rollout = find(&listing, "s").expect("a rollout of s");
    let text = show(rollout, &listing["Figures"]["rollouts"]["s"]);
    assert!(
        text.contains("mean 12 ms") && text.contains("gate passed over"),
        "{text}"
    );
    assert!(find(&listing, "t").is_none());
}
