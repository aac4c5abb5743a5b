//! Deserialization of values that the schema accepts in several forms: `null` for an absent value, and `5.0`
//! for an integer.

use serde::de::Error;
use serde::{Deserialize, Deserializer};

/// The largest integer that all JSON parsers represent exactly: 2^53 - 1 (RFC 8259, section 6).
const MAX_EXACT_INTEGER: f64 = 9_007_199_254_740_991.0;

/// Deserializes a value; `null` gives the default of its type.
pub(crate) fn or_default<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de> + Default,
{
    Ok(Option::<T>::deserialize(deserializer)?.unwrap_or_default())
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Number {
    Integer(u64),
    Float(f64),
}

fn to_integer<E: Error>(number: Number) -> Result<u64, E> {
    match number {
        Number::Integer(integer) => Ok(integer),
        Number::Float(float) if float.fract() == 0.0 && (0.0..=MAX_EXACT_INTEGER).contains(&float) => {
            Ok(float as u64)
        }
        Number::Float(float) => Err(E::custom(format!("{float} is not a whole number from 0"))),
    }
}

/// Converts a number into an integer type. Fails if it has a fraction or exceeds the range of the type.
fn to_integer_type<T: TryFrom<u64>, E: Error>(number: Number) -> Result<T, E> {
    let integer = to_integer(number)?;
    T::try_from(integer).map_err(|_| E::custom(format!("{integer} is too large")))
}

/// Deserializes an integer that may be written with a decimal point.
pub(crate) fn integer<'de, D: Deserializer<'de>, T: TryFrom<u64>>(deserializer: D) -> Result<T, D::Error> {
    to_integer_type(Number::deserialize(deserializer)?)
}

/// Deserializes an integer that may be written with a decimal point; `None` for `null`.
pub(crate) fn integer_or_none<'de, D, T>(deserializer: D) -> Result<Option<T>, D::Error>
where
    D: Deserializer<'de>,
    T: TryFrom<u64>,
{
    Option::<Number>::deserialize(deserializer)?.map(to_integer_type).transpose()
}

/// Deserializes an integer that may be written with a decimal point; `null` gives the default of its type.
pub(crate) fn integer_or_default<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: TryFrom<u64> + Default,
{
    Ok(integer_or_none(deserializer)?.unwrap_or_default())
}
