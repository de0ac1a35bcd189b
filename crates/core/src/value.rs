//! Macros that define types with a common set of derives.

/// Derives `Clone`, `Debug`, `PartialEq`, `Eq` and serde's traits for the given types.
#[macro_export]
macro_rules! value {
    ($($item:item)*) => {
        $(
            #[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
            $item
        )*
    };
}

/// Defines identifiers that wrap a shared string.
macro_rules! string_ids {
    ($($(#[$doc:meta])* $name:ident)*) => {
        $(
            $(#[$doc])*
            #[derive(
                Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash,
                serde::Serialize, serde::Deserialize,
            )]
            #[serde(transparent)]
            pub struct $name(std::sync::Arc<str>);

            impl $name {
                /// The identifier as text.
                pub fn as_str(&self) -> &str {
                    &self.0
                }
            }

            impl From<&str> for $name {
                fn from(text: &str) -> Self {
                    Self(text.into())
                }
            }

            impl std::fmt::Display for $name {
                fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                    f.write_str(&self.0)
                }
            }
        )*
    };
}

pub(crate) use string_ids;
