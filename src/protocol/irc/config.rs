//! Configuration of the IRC front.

/// Configuration of the IRC front.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct IrcConfig {
    /// Name of the front as an IRC server, the prefix of its own messages.
    pub name: String,
    /// Address to which a migrated client should reconnect.
    pub advertised_address: AdvertisedAddress,
    /// Class of all requests at this front.
    pub class: String,
    /// Tenant of all requests at this front, if any.
    pub tenant: Option<String>,
    /// Capabilities that clients may request. All servers must support them.
    pub capabilities: Vec<String>,
}

/// Address to which clients can connect.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AdvertisedAddress {
    /// Host name or IP address.
    pub host: String,
    /// TCP port.
    pub port: u16,
}
