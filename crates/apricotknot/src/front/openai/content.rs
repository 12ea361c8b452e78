//! Visitors that digest the text of a prompt while it is parsed, without storing it.

use std::fmt;

use apricotknot_core::types::PromptDigest;
use serde::de::DeserializeSeed;
use serde::de::Deserializer;
use serde::de::Error;
use serde::de::IgnoredAny;
use serde::de::MapAccess;
use serde::de::SeqAccess;
use serde::de::Visitor;

/// Digests the text of a prompt: a string, or nested lists of strings and of parts with text.
///
/// Each token id in a list is digested as the low four bytes of its little-endian form.
pub(super) struct TextSeed<'a> {
    pub(super) digest: &'a mut PromptDigest,
}

impl<'de> DeserializeSeed<'de> for TextSeed<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for TextSeed<'_> {
    type Value = ();

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("text, or a list of texts or content parts")
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<(), E> {
        self.digest.update(text.as_bytes());
        Ok(())
    }

    fn visit_u64<E: Error>(self, token: u64) -> Result<(), E> {
        self.digest.update(&token.to_le_bytes()[..4]);
        Ok(())
    }

    fn visit_unit<E: Error>(self) -> Result<(), E> {
        Ok(())
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<(), A::Error> {
        while items.next_element_seed(TextSeed { digest: self.digest })?.is_some() {}
        Ok(())
    }

    fn visit_map<A: MapAccess<'de>>(self, mut fields: A) -> Result<(), A::Error> {
        while let Some(name) = fields.next_key::<PartField>()? {
            match name {
                PartField::Text => fields.next_value_seed(TextSeed { digest: self.digest })?,
                PartField::Other => {
                    fields.next_value::<IgnoredAny>()?;
                },
            }
        }
        Ok(())
    }
}

/// Identifies a field of a message or of a content part.
enum PartField {
    Text,
    Other,
}

impl<'de> serde::Deserialize<'de> for PartField {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct NameVisitor;

        impl Visitor<'_> for NameVisitor {
            type Value = PartField;

            fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str("a field name")
            }

            fn visit_str<E: Error>(self, name: &str) -> Result<PartField, E> {
                match name {
                    "content" | "text" => Ok(PartField::Text),
                    _ => Ok(PartField::Other),
                }
            }
        }

        deserializer.deserialize_identifier(NameVisitor)
    }
}
