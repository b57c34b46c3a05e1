use protocol::SiteFraction;

/// Draws a site for a service and client group with the probabilities of the
/// fractions. `usable` says which sites can be answered with now; `chance` is
/// a number from 0 up to 1. `None` without any figure for a usable site.
pub fn draw<'a>(
    fractions: &'a [SiteFraction],
    service: &str,
    group: &str,
    chance: f64,
    usable: impl Fn(&str) -> bool,
) -> Option<&'a str> {
    let rows: Vec<&SiteFraction> = fractions
        .iter()
        .filter(|f| f.service == service && f.group == group && f.part > 0.0 && usable(&f.site))
        .collect();
    let total: f64 = rows.iter().map(|f| f.part).sum();
    let mut left = chance * total;
    for row in &rows {
        left -= row.part;
        if left < 0.0 {
            return Some(&row.site);
        }
    }
    rows.last().map(|f| f.site.as_str())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn draws_by_fraction_among_usable_sites() {
        let row = |site: &str, part| SiteFraction {
            service: "s".into(),
            group: "g".into(),
            site: site.into(),
            part,
        };
        let rows = [row("a", 0.25), row("b", 0.75)];
        assert_eq!(draw(&rows, "s", "g", 0.2, |_| true), Some("a"));
        assert_eq!(draw(&rows, "s", "g", 0.3, |_| true), Some("b"));
        assert_eq!(draw(&rows, "s", "g", 0.0, |s| s == "b"), Some("b"));
        assert_eq!(draw(&rows, "s", "g", 0.5, |_| false), None);
        assert_eq!(draw(&rows, "t", "g", 0.5, |_| true), None);
    }
}
