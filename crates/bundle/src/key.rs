//! Ed25519 keys of the operators.

use ed25519_dalek::{Signature, Signer, SigningKey, VerifyingKey};
use std::fmt;
use std::str::FromStr;
use thiserror::Error;

/// First word of a key file. It identifies the format and its version.
const FILE_HEADER: &str = "damaskweir-operator-key-1";

/// Error in reading or generating a key. Its message never contains any part of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum KeyError {
    /// The text is not a key file.
    #[error("not an operator key file: expected \"{FILE_HEADER}\" and 64 hexadecimal digits")]
    InvalidFile,
    /// The text is not a usable public key.
    #[error("not an ed25519 public key of 64 hexadecimal digits")]
    InvalidPublicKey,
    /// The operating system's random number generator failed.
    #[error("the operating system provided no random numbers")]
    NoRandomness,
}

/// Public key of an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PublicKey(pub [u8; 32]);

impl PublicKey {
    /// Returns whether `signature` is a valid signature of `message` by this key.
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
        // Signatures that verify under a weak key can be forged without the secret key.
        if key.is_weak() { Err(KeyError::InvalidPublicKey) } else { Ok(Self(bytes)) }
    }
}

/// Secret key of an operator. It can't end up in a log: `Debug` prints only the public key.
pub struct SecretKey(SigningKey);

impl SecretKey {
    /// Creates a key from 32 random bytes.
    pub fn from_seed(seed: &[u8; 32]) -> Self {
        Self(SigningKey::from_bytes(seed))
    }

    /// Generates a key with the operating system's random number generator.
    pub fn generate() -> Result<Self, KeyError> {
        let mut seed = [0; 32];
        getrandom::fill(&mut seed).map_err(|_| KeyError::NoRandomness)?;
        Ok(Self::from_seed(&seed))
    }

    /// Parses the text of a key file.
    pub fn from_file_text(text: &str) -> Result<Self, KeyError> {
        let mut words = text.split_whitespace();
        match (words.next(), words.next(), words.next()) {
            (Some(FILE_HEADER), Some(hex), None) => {
                Ok(Self::from_seed(&parse_hex(hex).ok_or(KeyError::InvalidFile)?))
            }
            _ => Err(KeyError::InvalidFile),
        }
    }

    /// Returns the text of a key file.
    pub fn to_file_text(&self) -> String {
        let hex: String = self.0.to_bytes().iter().map(|byte| format!("{byte:02x}")).collect();
        format!("{FILE_HEADER} {hex}\n")
    }

    /// Returns the matching public key.
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
