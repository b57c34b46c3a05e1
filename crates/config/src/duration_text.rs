//! Durations as text: a number followed by `ms` or `s`.

use serde::{de::Error, Deserialize, Deserializer, Serialize, Serializer};

/// A duration in whole milliseconds, written as `1500ms` or `2.5s`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct DurationText {
    /// Milliseconds.
    pub ms: u64,
}

impl DurationText {
    /// Creates a duration from a number of milliseconds.
    pub const fn from_ms(ms: u64) -> DurationText {
        DurationText { ms }
    }

    /// Parses a duration, or returns `None` if the text is not a valid duration.
    pub fn parse(text: &str) -> Option<DurationText> {
        let text = text.trim();
        let (number, scale) = match text.strip_suffix("ms") {
            Some(number) => (number, 1.0),
            None => (text.strip_suffix('s')?, 1000.0),
        };
        let value: f64 = number.trim().parse().ok()?;
        let ms = value * scale;
        let is_valid = ms.is_finite() && (0.0..1e15).contains(&ms);
        is_valid.then(|| DurationText::from_ms(ms.round() as u64))
    }
}

impl std::fmt::Display for DurationText {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}ms", self.ms)
    }
}

impl<'de> Deserialize<'de> for DurationText {
    fn deserialize<D: Deserializer<'de>>(de: D) -> Result<DurationText, D::Error> {
        let text = String::deserialize(de)?;
        DurationText::parse(&text)
            .ok_or_else(|| D::Error::custom(format!("`{text}` is no time such as 1500ms or 2.5s")))
    }
}

impl Serialize for DurationText {
    fn serialize<S: Serializer>(&self, ser: S) -> Result<S::Ok, S::Error> {
        ser.collect_str(self)
    }
}
