//! Parsing of durations.

use config::DurationText;

#[test]
fn both_units_are_parsed_and_invalid_texts_are_rejected() {
    assert_eq!(DurationText::parse("1500ms"), Some(DurationText::from_ms(1500)));
    assert_eq!(DurationText::parse("2.5s"), Some(DurationText::from_ms(2500)));
    for invalid in ["", "5", "ms", "-1s", "1e99s", "1m"] {
        assert_eq!(DurationText::parse(invalid), None, "{invalid}");
    }
}
