"""Tests of cyclamendale."""
