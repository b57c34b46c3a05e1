use super::*;

#[test]
fn sums_and_states_are_told() {
    let rows = json!([
        {"service": "s", "from": 0, "to": 9, "worker": "w1", "fence": 4, "leaving": true},
        {"service": "s", "from": 10, "to": 65535, "worker": "", "fence": 5, "leaving": false},
        {"service": "s", "from": "unreadable"}]);
    let rows = rows.as_array().expect("rows");
    let ranges: Vec<Range> = rows.iter().filter_map(Range::from_status).collect();
    assert_eq!(ranges.len(), 2);
    let text = list(&ranges);
    assert!(
        text.contains("1 holders, 10 keys on their way, 65526 held by nobody"),
        "{text}"
    );
    assert!(text.contains("being taken back"), "{text}");
}
