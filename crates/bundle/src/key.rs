//! ed25519 keys of operators.

use ed25519_dalek::{Signature, Signer, SigningKey, VerifyingKey};
use std::fmt;
use std::str::FromStr;
use thiserror::Error;

/// First word of a key file.
const FILE_HEADER: &str = "damaskweir-operator-key-1";

/// Why a key can't be used. The text never holds any part of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum KeyError {
    /// Not a key file.
    #[error("not an operator key file: expected \"{FILE_HEADER}\" and 64 hexadecimal digits")]
    InvalidFile,
    /// Not a public key.
    #[error("not an ed25519 public key of 64 hexadecimal digits")]
    InvalidPublicKey,
    /// The operating system gave no randomness.
    #[error("the operating system gave no random numbers")]
    NoRandomness,
}

/// Public key of an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PublicKey(pub [u8; 32]);

impl PublicKey {
    /// Whether the signature is this key's over the message.
    pub fn verify(&self, message: &[u8], signature: &[u8; 64]) -> bool {
        VerifyingKey::from_bytes(&self.0)
            .is_ok_and(|key| key.verify_strict(message, &Signature::from_bytes(signature)).is_ok())
    }
}

impl fmt::Display for PublicKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for PublicKey {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, KeyError> {
        let bytes = parse_hex(text).ok_or(KeyError::InvalidPublicKey)?;
        let key = VerifyingKey::from_bytes(&bytes).map_err(|_| KeyError::InvalidPublicKey)?;
        // Anyone can make signatures that such a key accepts.
        if key.is_weak() { Err(KeyError::InvalidPublicKey) } else { Ok(Self(bytes)) }
    }
}

/// Secret key of an operator. It has no way into a log: `Debug` shows the public key only.
pub struct SecretKey(SigningKey);

impl SecretKey {
    /// Makes a key from 32 random bytes.
    pub fn from_seed(seed: &[u8; 32]) -> Self {
        Self(SigningKey::from_bytes(seed))
    }

    /// Makes a key from the operating system's random numbers.
    pub fn generate() -> Result<Self, KeyError> {
        let mut seed = [0; 32];
        getrandom::fill(&mut seed).map_err(|_| KeyError::NoRandomness)?;
        Ok(Self::from_seed(&seed))
    }

    /// Reads a key file.
    pub fn from_file_text(text: &str) -> Result<Self, KeyError> {
        let mut words = text.split_whitespace();
        match (words.next(), words.next(), words.next()) {
            (Some(FILE_HEADER), Some(hex), None) => {
                Ok(Self::from_seed(&parse_hex(hex).ok_or(KeyError::InvalidFile)?))
            }
            _ => Err(KeyError::InvalidFile),
        }
    }

    /// The content of a key file.
    pub fn to_file_text(&self) -> String {
        let hex: String = self.0.to_bytes().iter().map(|byte| format!("{byte:02x}")).collect();
        format!("{FILE_HEADER} {hex}\n")
    }

    /// The public key.
    pub fn public_key(&self) -> PublicKey {
        PublicKey(self.0.verifying_key().to_bytes())
    }

    /// Signs a message.
    pub fn sign(&self, message: &[u8]) -> [u8; 64] {
        self.0.sign(message).to_bytes()
    }
}

impl fmt::Debug for SecretKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "SecretKey(of {})", self.public_key())
    }
}

fn parse_hex(text: &str) -> Option<[u8; 32]> {
    let digits = text.as_bytes();
    if digits.len() != 64 || !digits.iter().all(u8::is_ascii_hexdigit) {
        return None;
    }
    let mut bytes = [0; 32];
    for (byte, pair) in bytes.iter_mut().zip(digits.chunks(2)) {
        *byte = u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok()?;
    }
    Some(bytes)
}
