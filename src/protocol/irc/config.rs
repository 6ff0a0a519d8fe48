//! The configuration of the front.

/// What the front is configured with.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct IrcConfig {
    /// Its name, which is the prefix of its own messages.
    pub name: String,
    /// Where a client is asked to connect again.
    pub address: AdvertisedAddress,
    /// The class of all requests at this front.
    pub class: String,
    /// The tenant of all requests at this front.
    pub tenant: Option<String>,
    /// Capabilities that clients may request; each server has to have them.
    pub capabilities: Vec<String>,
}

/// An address that clients can connect to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AdvertisedAddress {
    /// Host name or IP address.
    pub host: String,
    /// TCP port.
    pub port: u16,
}
