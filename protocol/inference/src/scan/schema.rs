//! Validates messages whose fields are not read.

use super::wire::Fields;
use super::{parameter, Malformed};

/// The type of a field in a message that is only validated.
#[derive(Clone, Copy)]
pub(super) enum FieldType {
    Text,
    Bytes,
    /// Repeated varints, packed or not.
    Varints,
    /// Repeated 4-byte values, packed or not.
    Fixed32s,
    /// Repeated 8-byte values, packed or not.
    Fixed64s,
    /// An entry of a `map<string, InferParameter>`.
    Parameter,
    Message(Schema),
}

/// The fields of a message, by number. Other fields are skipped.
pub(super) type Schema = &'static [(u32, FieldType)];

/// `InferInputTensor`, and `InferOutputTensor`, which has the same fields.
pub(super) const TENSOR: Schema = &[
    (1, FieldType::Text),
    (2, FieldType::Text),
    (3, FieldType::Varints),
    (4, FieldType::Parameter),
    (5, FieldType::Message(TENSOR_CONTENTS)),
];

/// `InferRequestedOutputTensor`.
pub(super) const REQUESTED_OUTPUT: Schema = &[(1, FieldType::Text), (2, FieldType::Parameter)];

/// `InferTensorContents`.
const TENSOR_CONTENTS: Schema = &[
    (1, FieldType::Varints),
    (2, FieldType::Varints),
    (3, FieldType::Varints),
    (4, FieldType::Varints),
    (5, FieldType::Varints),
    (6, FieldType::Fixed32s),
    (7, FieldType::Fixed64s),
    (8, FieldType::Bytes),
];

/// Validates a message against a schema.
pub(super) fn check(mut fields: Fields<'_>, schema: Schema) -> Result<(), Malformed> {
    while let Some(field) = fields.next()? {
        let Some((_, kind)) = schema.iter().find(|(number, _)| *number == field.number) else {
            continue;
        };
        match kind {
            FieldType::Text => drop(field.text()?),
            FieldType::Bytes => drop(field.bytes()?),
            FieldType::Parameter => drop(parameter(&field)?),
            FieldType::Message(inner) => check(field.message()?, inner)?,
            FieldType::Varints => field.check_varints()?,
            FieldType::Fixed32s => field.check_fixed32()?,
            FieldType::Fixed64s => field.check_fixed64()?,
        }
    }
    Ok(())
}
