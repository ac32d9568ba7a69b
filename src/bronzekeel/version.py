"""Tell the version of the product."""

VERSION = '0.1.0'
