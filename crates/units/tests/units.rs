//! Parsing and formatting of values with units.

use serde::Deserialize;
use serde::de::IntoDeserializer;
use serde::de::value::Error;
use std::time::Duration;
use units::{
    DurationError, DurationSetting, FractionSetting, format_duration, parse_bytes, parse_duration,
    parse_percent, parse_rate,
};

#[test]
fn durations_are_parsed_with_their_units() {
    for (text, micros) in
        [("250ms", 250_000), ("1.5s", 1_500_000), ("2m", 120_000_000), ("1 h", 3_600_000_000), ("7us", 7)]
    {
        assert_eq!(parse_duration(text), Ok(Duration::from_micros(micros)), "{text}");
    }
    assert_eq!(parse_duration("250"), Err(DurationError::MissingUnit));
    assert_eq!(parse_duration("25h"), Err(DurationError::TooLong));
    for text in ["", "ms", "-1s", "1e3s", "1.2.3s", "1sec", "NaN s", "1s1s"] {
        assert_eq!(parse_duration(text), Err(DurationError::Malformed), "{text}");
    }
}

#[test]
fn a_parsed_duration_is_formatted_as_the_same_text() {
    for text in ["250ms", "1.5s", "120s", "7us", "0ms"] {
        assert_eq!(format_duration(parse_duration(text).expect("a duration")), text);
    }
}

#[test]
fn percentages_rates_and_sizes_are_parsed() {
    assert_eq!((parse_percent("26%"), parse_percent("26"), parse_percent("%")), (Some(0.26), None, None));
    assert_eq!(
        (parse_rate("30/m"), parse_rate("5/s"), parse_rate("5"), parse_rate("-1/s")),
        (Some(0.5), Some(5.0), None, None)
    );
    assert_eq!((parse_rate("NaN/s"), parse_rate("inf/s"), parse_rate("5/d")), (None, None, None));
    assert_eq!(
        (parse_bytes("64KiB"), parse_bytes("64"), parse_bytes("99999999999999GiB")),
        (Some(65_536), None, None)
    );
}

#[test]
fn settings_are_deserialized_and_errors_describe_the_accepted_form() {
    let duration = |text: &str| {
        DurationSetting::deserialize(IntoDeserializer::<Error>::into_deserializer(text))
            .map(DurationSetting::get)
            .map_err(|error| error.to_string())
    };
    assert_eq!(duration("250ms"), Ok(Duration::from_millis(250)));
    let units = "write a number and a unit, such as `250ms` or `1.5s`";
    assert_eq!(duration("250"), Err(format!("\"250\" has no unit: {units}")));
    assert_eq!(duration("25h"), Err("\"25h\" is longer than a day".into()));
    assert_eq!(duration("soon"), Err(format!("\"soon\" is no duration: {units}")));
    let fraction = |text: &str| {
        FractionSetting::deserialize(IntoDeserializer::<Error>::into_deserializer(text))
            .map(FractionSetting::get)
            .map_err(|error| error.to_string())
    };
    assert_eq!(fraction("20%"), Ok(0.2));
    let form = "a share is a number from 0 to 1, or a text such as \"20%\"";
    assert_eq!(fraction("120%"), Err(form.into()));
    let of_a_bool = FractionSetting::deserialize(IntoDeserializer::<Error>::into_deserializer(true));
    let error = of_a_bool.expect_err("a boolean is not a fraction").to_string();
    assert_eq!(error, "data did not match any variant of untagged enum Written");
}
