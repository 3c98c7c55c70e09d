//! Arguments of directives.

use std::str::FromStr;

use datadriven::TestCase;

use super::{Result, fail};

/// Returns a required argument.
pub fn required<T>(case: &mut TestCase, key: &str) -> Result<T>
where
    T: FromStr,
    T::Err: std::error::Error + Send + Sync + 'static,
{
    Ok(case.take_arg(key)?)
}

/// Returns an optional argument, or the default.
pub fn get_or<T>(case: &mut TestCase, key: &str, default: T) -> Result<T>
where
    T: FromStr,
    T::Err: std::error::Error + Send + Sync + 'static,
{
    Ok(case.try_take_arg(key)?.unwrap_or(default))
}

/// Returns an optional list argument, which is empty if it is not given.
pub fn list(case: &mut TestCase, key: &str) -> Result<Vec<String>> {
    Ok(case.try_take_args(key)?.unwrap_or_default())
}

/// Returns the arguments without a value, in alphabetical order.
pub fn names(case: &mut TestCase) -> Vec<String> {
    let is_name = |(_, values): &(&String, &Vec<String>)| values.is_empty();
    let mut names: Vec<_> =
        case.args.iter().filter(is_name).map(|(name, _)| name.clone()).collect();
    names.sort();
    for name in &names {
        case.args.remove(name);
    }
    names
}

/// Returns the only argument without a value.
pub fn name(case: &mut TestCase) -> Result<String> {
    match names(case).as_slice() {
        [name] => Ok(name.clone()),
        names => fail(format!("one name is needed, not {names:?}")),
    }
}
