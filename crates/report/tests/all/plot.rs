//! Tests the structure of the plot.

use crate::fixture::{
    HOUR, Trail, account, instance, rolled_out, serving, template, wave, wave_row,
};
use primroseroute_report::plot::svg;

cases! {
    each_pool_has_a_panel_with_its_lines_and_waves => panels();
    nothing_to_show_is_still_a_picture => blank();
}

/// The fill colour of a wave's area, as the drawing library writes it.
const SHADE: &str = "fill=\"#00FF00\"";

fn count(text: &str, part: &str) -> usize {
    text.matches(part).count()
}

/// Two pools, one of which is covered by a wave: two panels with three lines each, and one shaded
/// area from a quarter to a half of the panel's width.
fn panels() {
    let row = wave_row("patch-week", &["p"], HOUR);
    let templates = [template("a", "p", 1), template("b", "q", 1)];
    let trail = Trail::default()
        .at(0, templates.iter().map(account).collect())
        .at(
            0,
            vec![instance(&serving("i", "p")), instance(&serving("j", "q"))],
        )
        .at(HOUR, vec![wave(&row)])
        .at(2 * HOUR, vec![wave(&rolled_out(row, 2 * HOUR))]);
    let text =
        svg(&trail.replay(0, 4 * HOUR).expect("the trail has no gap")).expect("plots can be drawn");
    assert!(text.starts_with("<svg ") && text.trim_end().ends_with("</svg>"));
    assert!(text.contains("height=\"440\""));
    for label in ["held", "serving", "promised", "instances"] {
        // Each panel contains the title of an axis and the label of a line once.
        assert_eq!(count(&text, &format!("\n{label}\n")), 2, "{label}: {text}");
    }
    for title in ["p", "q", "patch-week"] {
        assert_eq!(count(&text, &format!("\n{title}\n")), 1, "{title}: {text}");
    }
    assert_eq!(count(&text, SHADE), 1, "{text}");
    let shade = text.lines().find(|line| line.contains(SHADE));
    let shade = shade.expect("a shaded area");
    let field = |name: &str| {
        let rest = shade.split(&format!(" {name}=\"")).nth(1);
        let value = rest.and_then(|rest| rest.split('"').next());
        value
            .and_then(|value| value.parse::<u32>().ok())
            .expect("a number")
    };
    // The image is 1,000 pixels wide, less two margins of 8 and the axis labels of 40.
    assert!(field("width").abs_diff(944 / 4) <= 2, "{shade}");
    assert!(field("x").abs_diff(48 + 944 / 4) <= 2, "{shade}");
}

fn blank() {
    let found = Trail::default().replay(0, 0).expect("the trail has no gap");
    let text = svg(&found).expect("plots can be drawn");
    assert!(text.contains("height=\"220\""), "{text}");
}
