//! Weighted choice of a site by the fractions of a placement.

use placement::draw_site;
use protocol::SiteFraction;

#[test]
fn site_is_drawn_by_fraction_among_usable_sites() {
    let row = |site: &str, part| SiteFraction {
        service: "s".into(),
        group: "g".into(),
        site: site.into(),
        part,
    };
    let rows = [row("a", 0.25), row("b", 0.75)];
    assert_eq!(draw_site(&rows, "s", "g", 0.2, |_| true), Some("a"));
    assert_eq!(draw_site(&rows, "s", "g", 0.3, |_| true), Some("b"));
    assert_eq!(draw_site(&rows, "s", "g", 0.0, |s| s == "b"), Some("b"));
    assert_eq!(draw_site(&rows, "s", "g", 0.5, |_| false), None);
    assert_eq!(draw_site(&rows, "t", "g", 0.5, |_| true), None);
}
