//! Conversion between function names and the identifiers of the router.

use crate::error::LineError;
use std::borrow::Cow;
use std::collections::BTreeMap;
use tansyrouter::FunctionId;

/// Length of a function name, which is a 64-bit number in hexadecimal.
const NAME_DIGITS: usize = 16;

/// Function names. Only names that are not the lower-case form of their identifier are stored; the others are
/// computed.
#[derive(Default)]
pub struct FunctionNames {
    non_canonical: BTreeMap<FunctionId, String>,
}

impl FunctionNames {
    /// Returns the identifier of a function. Records its name if it cannot be computed from the identifier.
    pub fn register(&mut self, name: &str) -> Result<FunctionId, LineError> {
        let id = parse(name).ok_or_else(|| LineError::InvalidFunctionName { name: name.into() })?;
        if !is_canonical(name) {
            self.non_canonical
                .entry(id)
                .or_insert_with(|| name.to_string());
        }
        Ok(id)
    }

    /// Returns the name of a function.
    pub fn name(&self, id: FunctionId) -> Cow<'_, str> {
        match self.non_canonical.get(&id) {
            Some(name) => Cow::Borrowed(name),
            None => Cow::Owned(format!("{:016x}", id.0)),
        }
    }
}

fn parse(name: &str) -> Option<FunctionId> {
    if name.len() != NAME_DIGITS {
        return None;
    }
    u64::from_str_radix(name, 16).ok().map(FunctionId)
}

/// Whether a name of the right length is written as its identifier would be: lower case, without a sign.
fn is_canonical(name: &str) -> bool {
    name.bytes()
        .all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'))
}
