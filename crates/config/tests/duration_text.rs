//! Durations as text.

use config::DurationText;

#[test]
fn reads_both_units_and_refuses_the_rest() {
    assert_eq!(DurationText::parse("1500ms"), Some(DurationText::from_ms(1500)));
    assert_eq!(DurationText::parse("2.5s"), Some(DurationText::from_ms(2500)));
    for bad in ["", "5", "ms", "-1s", "1e99s", "1m"] {
        assert_eq!(DurationText::parse(bad), None, "{bad}");
    }
}
