//! Normalizes the exposition of metrics for golden files.

/// Replaces each value.
const VALUE_PLACEHOLDER: &str = "(value)";

/// The exposition with each value replaced by a placeholder, and the samples of each metric family sorted, as
/// their order is not fixed.
pub fn without_values(exposition: &str) -> String {
    let mut families: Vec<(Vec<String>, Vec<String>)> = Vec::new();
    let mut after_sample = true;
    for line in exposition.lines() {
        if line.starts_with('#') {
            if after_sample {
                families.push((Vec::new(), Vec::new()));
            }
            let (comments, _) = families.last_mut().expect("a family");
            comments.push(line.to_owned());
        } else {
            let (name, value) = line.rsplit_once(' ').expect("a name and a value");
            assert!(value.parse::<f64>().is_ok(), "no value: {line}");
            let (_, samples) = families.last_mut().expect("comments before samples");
            samples.push(format!("{name} {VALUE_PLACEHOLDER}"));
        }
        after_sample = !line.starts_with('#');
    }
    let mut text = String::new();
    for (comments, mut samples) in families {
        samples.sort();
        for line in comments.into_iter().chain(samples) {
            text.push_str(&line);
            text.push('\n');
        }
    }
    text
}
