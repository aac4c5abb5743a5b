//! Helpers that prepare texts for the comparison with golden files.

/// Whether an error text contains the name of a Rust type, as those of serde do where a struct or enum is
/// expected. Tests keep such texts in separate golden files, so that renaming a type changes no others.
pub fn shows_a_type(text: &str) -> bool {
    ["struct ", "enum "].iter().any(|word| {
        let mut rest = text.split(word).skip(1);
        rest.any(|rest| rest.starts_with(|first: char| first.is_ascii_uppercase()))
    })
}

/// Rounds every decimal number in a text to twelve significant digits. Further digits depend on which
/// packages are built together: `num-traits` uses the mathematical functions of the system with its feature
/// `std`, and those of `libm` without it. Numbers without a decimal point are not changed.
pub fn to_twelve_digits(text: &str) -> String {
    let mut out = String::new();
    let mut rest = text;
    while let Some(at) = rest.find(|c: char| c.is_ascii_digit()) {
        let (before, from) = rest.split_at(at);
        let mut end = from.find(|c: char| !c.is_ascii_digit() && c != '.').unwrap_or(from.len());
        // An exponent, as in `1.5e-7`.
        if let Some(exponent) = from[end..].strip_prefix("e-").filter(|_| from[..end].contains('.')) {
            end += 2 + exponent.find(|c: char| !c.is_ascii_digit()).unwrap_or(exponent.len());
        }
        let (number, after) = from.split_at(end);
        let rounded = number.parse::<f64>().ok().filter(|_| number.contains('.'));
        let rounded = rounded.and_then(|figure| format!("{figure:.11e}").parse::<f64>().ok());
        out += before;
        out += &rounded.map_or(number.to_string(), |figure| format!("{figure:?}"));
        rest = after;
    }
    out + rest
}
