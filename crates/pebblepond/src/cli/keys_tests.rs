use super::*;

#[test]
fn list_shows_totals_and_range_states() {
    let rows = json!([
        {"service": "s", "from": 0, "to": 9, "worker": "w1", "fence": 4, "leaving": true},
        {"service": "s", "from": 10, "to": 65535, "worker": "", "fence": 5, "leaving": false},
        {"service": "s", "from": "unreadable"}]);
    let rows = rows.as_array().expect("rows");
    let ranges: Vec<KeyRange> = rows.iter().filter_map(KeyRange::from_status).collect();
    assert_eq!(ranges.len(), 2);
    let text = list(&ranges);
    assert!(
        text.contains("1 holders, 10 keys on their way, 65526 held by nobody"),
        "{text}"
    );
    assert!(text.contains("being taken back"), "{text}");
}
