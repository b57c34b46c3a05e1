//! Times as text: a number followed by `ms` or `s`.

use serde::{de::Error, Deserialize, Deserializer, Serialize, Serializer};

/// A span of time in whole milliseconds, written as `1500ms` or `2.5s`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub u64);

impl Span {
    /// Reads a span from its text; `None` if it is no such text.
    pub fn parse(text: &str) -> Option<Span> {
        let text = text.trim();
        let (number, scale) = match text.strip_suffix("ms") {
            Some(n) => (n, 1.0),
            None => (text.strip_suffix('s')?, 1000.0),
        };
        let value: f64 = number.trim().parse().ok()?;
        let ms = value * scale;
        (ms.is_finite() && (0.0..1e15).contains(&ms)).then(|| Span(ms.round() as u64))
    }
}

impl std::fmt::Display for Span {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}ms", self.0)
    }
}

impl<'de> Deserialize<'de> for Span {
    fn deserialize<D: Deserializer<'de>>(de: D) -> Result<Span, D::Error> {
        let text = String::deserialize(de)?;
        Span::parse(&text)
            .ok_or_else(|| D::Error::custom(format!("`{text}` is no time such as 1500ms or 2.5s")))
    }
}

impl Serialize for Span {
    fn serialize<S: Serializer>(&self, ser: S) -> Result<S::Ok, S::Error> {
        ser.collect_str(self)
    }
}

#[cfg(test)]
mod tests {
    use super::Span;

    #[test]
    fn reads_both_units_and_refuses_the_rest() {
        assert_eq!(Span::parse("1500ms"), Some(Span(1500)));
        assert_eq!(Span::parse("2.5s"), Some(Span(2500)));
        for bad in ["", "5", "ms", "-1s", "1e99s", "1m"] {
            assert_eq!(Span::parse(bad), None, "{bad}");
        }
    }
}
