//! Identifiers. Names are short, lower-case and cheap to clone; numeric identifiers are `Copy`.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::borrow::Borrow;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use thiserror::Error;

/// Maximum length of a name, in bytes.
pub const NAME_MAX_BYTES: usize = 64;

/// Maximum length of an idempotency key or client token, in bytes.
pub const KEY_MAX_BYTES: usize = 200;

/// A text is not a valid identifier.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum IdError {
    /// The text is empty or longer than allowed.
    #[error("has {found} bytes; 1 to {max} are allowed")]
    Length {
        /// Length of the text in bytes.
        found: usize,
        /// Maximum length in bytes.
        max: usize,
    },
    /// The text contains a character outside the allowed set.
    #[error("holds {found:?}; allowed are {allowed}")]
    Character {
        /// The first character that is not allowed.
        found: char,
        /// Description of the allowed characters.
        allowed: &'static str,
    },
    /// The text is not in the expected format.
    #[error("is not {expected}")]
    Form {
        /// Description of the expected format.
        expected: &'static str,
    },
}

fn check_name(text: &str) -> Result<(), IdError> {
    if text.is_empty() || text.len() > NAME_MAX_BYTES {
        return Err(IdError::Length { found: text.len(), max: NAME_MAX_BYTES });
    }
    let allowed =
        |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || matches!(c, '-' | '_' | '.');
    match text.chars().find(|c| !allowed(*c)) {
        Some(found) => Err(IdError::Character { found, allowed: "a-z, 0-9, '-', '_' and '.'" }),
        None => Ok(()),
    }
}

fn check_key(text: &str) -> Result<(), IdError> {
    if text.is_empty() || text.len() > KEY_MAX_BYTES {
        return Err(IdError::Length { found: text.len(), max: KEY_MAX_BYTES });
    }
    match text.chars().find(|c| !c.is_ascii_graphic()) {
        Some(found) => Err(IdError::Character { found, allowed: "printable ASCII without spaces" }),
        None => Ok(()),
    }
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident, $check:ident, $pattern:literal, $allowed:literal) => {
        $(#[$doc])*
        #[derive(Clone, Eq, Hash, JsonSchema, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        #[schemars(with = "String", extend("pattern" = $pattern, "x-allowed" = $allowed))]
        pub struct $name(Arc<str>);

        impl $name {
            /// The identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<&str> for $name {
            type Error = IdError;

            fn try_from(text: &str) -> Result<Self, IdError> {
                $check(text)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = IdError;

            fn try_from(text: String) -> Result<Self, IdError> {
                Self::try_from(text.as_str())
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                Self::try_from(text)
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> String {
                id.0.as_ref().to_owned()
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        text_id!($(#[$doc])* $name, check_name, "^[a-z0-9._-]{1,64}$",
            "1 to 64 of a-z, 0-9, '-', '_' and '.'");
    };
}

name!(
    /// A virtual machine of the cloud, from its start to its end.
    Instance
);
name!(
    /// A data centre. Its instances may all be reclaimed at the same time.
    DataCentre
);
name!(
    /// A region: a group of data centres that are close to each other.
    Region
);
name!(
    /// A team: the unit to which API keys, quotas, fair queueing and service levels apply.
    Team
);
name!(
    /// A model that the engines serve.
    Model
);
name!(
    /// A version of a model's weights.
    Version
);
name!(
    /// An adapter that is loaded in addition to a model.
    Adapter
);
name!(
    /// A set of interchangeable upstreams.
    Pool
);
name!(
    /// A plain HTTP service, in contrast to a model.
    Service
);
name!(
    /// A machine class (instance type) of the cloud.
    MachineClass
);
name!(
    /// A person or program that confirms plans and changes the configuration.
    Operator
);
name!(
    /// A stream of the log service.
    StreamName
);
text_id!(
    /// A key with which a caller identifies one logical call across retries.
    IdempotencyKey, check_key, "^[!-~]{1,200}$", "1 to 200 printable ASCII characters without spaces"
);
text_id!(
    /// A version of the software of an upstream. What two versions write in a stream doesn't fit
    /// together.
    SoftwareVersion, check_key, "^[!-~]{1,200}$", "1 to 200 printable ASCII characters without spaces"
);
text_id!(
    /// A key by which the cloud recognises a repeated request to start an instance.
    ClientToken, check_key, "^[!-~]{1,200}$", "1 to 200 printable ASCII characters without spaces"
);

macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Eq, Hash, JsonSchema, Ord, PartialEq, PartialOrd,
            Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl $name {
            /// The following number, saturating at the largest one.
            pub const fn next(self) -> Self {
                Self(self.0.saturating_add(1))
            }
        }
    };
}

number_id!(
    /// The position of a record in a stream of the log service; the first record has offset 1.
    Offset
);
number_id!(
    /// A revision of the configuration: the offset of the record that created it; 0 is the empty
    /// configuration.
    Revision
);
number_id!(
    /// A fencing token: the offset of the lease record under which an order is sent.
    Fencing
);
number_id!(
    /// The number of an attempt at one request, from 1.
    Attempt
);

macro_rules! hex_id {
    ($(#[$doc:meta])* $name:ident, $int:ty, $width:literal, $form:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Default, Eq, Hash, JsonSchema, Ord, PartialEq, PartialOrd, Serialize,
            Deserialize,
        )]
        #[serde(try_from = "String", into = "String")]
        #[schemars(with = "String")]
        pub struct $name(pub $int);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!("{:0", $width, "x}"), self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(self, f)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                let hex = |c: u8| c.is_ascii_digit() || (b'a'..=b'f').contains(&c);
                if text.len() != $width || !text.bytes().all(hex) {
                    return Err(IdError::Form { expected: $form });
                }
                <$int>::from_str_radix(text, 16)
                    .map(Self)
                    .map_err(|_| IdError::Form { expected: $form })
            }
        }

        impl TryFrom<String> for $name {
            type Error = IdError;

            fn try_from(text: String) -> Result<Self, IdError> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> String {
                id.to_string()
            }
        }
    };
}

hex_id!(
    /// An accepted request. The id can't be guessed; the request belongs to the team that made it.
    RequestId, u128, 32, "32 hexadecimal digits in lower case"
);
hex_id!(
    /// One run of a daemon process; a restarted daemon has a new incarnation.
    Incarnation, u64, 16, "16 hexadecimal digits in lower case"
);

#[cfg(test)]
mod tests;
